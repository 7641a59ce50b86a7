package caller

import (
	"fmt"
	"io"
)

// NotRunError means that the request certainly did not run.
type NotRunError struct {
	// Service is the host and port of the request.
	Service string
	// Reason is the server's reason, or what failed in the client.
	Reason string
	// Attempts is the number of attempts made.
	Attempts int
	// Answered is true when the server reported this outcome, and false when the
	// request was never sent or the server rejected its stream.
	Answered bool
	// Err is the underlying error, or nil.
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

// Unwrap returns the underlying error.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownError means that the request may have run.
type UnknownError struct {
	// Service is the host and port of the request.
	Service string
	// Reason is the server's reason, or how the response was lost.
	Reason string
	// Answered is true when the server reported this outcome, and false when
	// the response was lost.
	Answered bool
	// Status is the HTTP status of the server's response, 0 without one.
	Status int
	// Repetitions counts how often the ticket was sent again to learn the outcome.
	Repetitions int
	// Err is the underlying error, or nil.
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

// Unwrap returns the underlying error.
func (e *UnknownError) Unwrap() error { return e.Err }

// TruncatedError means that the body of a response ended early. It matches
// io.ErrUnexpectedEOF.
type TruncatedError struct {
	// Service is the host and port of the request.
	Service string
	// Read is the number of bytes received, Want the content length or -1.
	Read, Want int64
	// Err is the underlying error, nil when the stream ended cleanly but too early.
	Err error
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("response of %s ended after %d of %d bytes: %v", e.Service, e.Read, e.Want, e.Err)
}

// Unwrap returns io.ErrUnexpectedEOF and the underlying error.
func (e *TruncatedError) Unwrap() []error {
	if e.Err == nil {
		return []error{io.ErrUnexpectedEOF}
	}
	return []error{io.ErrUnexpectedEOF, e.Err}
}

// BodyLimitError means that a request body is too large to be kept in memory
// and cannot be read twice. Nothing was sent.
type BodyLimitError struct {
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements error.
func (e *BodyLimitError) Error() string {
	return fmt.Sprintf("request body is longer than %d bytes and has no GetBody", e.Limit)
}

// StatusError means that the response to a feed request has a status other than
// 200.
type StatusError struct {
	// Service is the host and port of the request.
	Service string
	// Status is the HTTP status of the response.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("feed request to %s was answered with status %d", e.Service, e.Status)
}
