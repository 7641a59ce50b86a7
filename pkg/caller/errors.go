package caller

import (
	"fmt"
	"io"
)

// NotRunError says that the request certainly did not run.
type NotRunError struct {
	// Service is the host and port of the request.
	Service string
	// Reason is the server's reason, or what failed before the request was sent.
	Reason string
	// Attempts counts how often the request was tried.
	Attempts int
	// Answered is true when the server said so, and false when the request
	// never left or the server rejected it unread.
	Answered bool
	// Err is the cause, if there is one besides the reason.
	Err error
}

// Error implements error.
func (e *NotRunError) Error() string {
	s := fmt.Sprintf("request to %s was not run after %d attempts: %s", e.Service, e.Attempts, e.Reason)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError says that the request may have run.
type UnknownError struct {
	// Service is the host and port of the request.
	Service string
	// Reason is the server's reason, or how the answer was lost.
	Reason string
	// Answered is true when the server said so, and false when no answer came.
	Answered bool
	// Status is the status of the server's answer, 0 without one.
	Status int
	// Repetitions counts how often the ticket was repeated to learn the outcome.
	Repetitions int
	// Err is the cause, if there is one besides the reason.
	Err error
}

// Error implements error.
func (e *UnknownError) Error() string {
	s := fmt.Sprintf("outcome of request to %s is unknown: %s", e.Service, e.Reason)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// TruncatedError says that the body of an answer ended early. It matches
// io.ErrUnexpectedEOF.
type TruncatedError struct {
	// Service is the host and port of the request.
	Service string
	// Read is the number of octets received, Want the announced number or -1.
	Read, Want int64
	// Err is the cause, nil when the stream ended cleanly but too early.
	Err error
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("answer of %s ended after %d of %d octets: %v", e.Service, e.Read, e.Want, e.Err)
}

// Unwrap returns io.ErrUnexpectedEOF and the cause.
func (e *TruncatedError) Unwrap() []error {
	if e.Err == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, e.Err}
}

// BodyLimitError says that a request body is too large to be kept in memory
// and cannot be read twice. Nothing was sent.
type BodyLimitError struct {
	// Limit is the limit in octets.
	Limit int64
}

// Error implements error.
func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("request body is longer than %d octets and has no GetBody", e.Limit)
}

// StatusError says that a feed was answered with a status other than 200.
type StatusError struct {
	// Service is the host and port of the request.
	Service string
	// Status is the status of the answer.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("feed of %s was answered with status %d", e.Service, e.Status)
}
