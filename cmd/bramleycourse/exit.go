package main

// Exit statuses of the apply command; its Help documents them.
const (
	exitInvalid  = 1
	exitConflict = 3
	exitUnknown  = 4
)

// exitError is an error with the exit status of the program.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode implements kong.ExitCoder.
func (e *exitError) ExitCode() int { return e.status }
