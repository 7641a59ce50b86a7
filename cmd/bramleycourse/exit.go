package main

// Exit statuses of apply.
const (
	exitInvalid  = 1
	exitConflict = 3
	exitUnknown  = 4
)

// exitError ends the program with a status.
type exitError struct {
	status int
	err    error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

// ExitCode implements kong.ExitCoder.
func (e *exitError) ExitCode() int { return e.status }
