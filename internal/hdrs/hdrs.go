// Package hdrs names the HTTP headers and paths that the caller library and
// the agent share.
package hdrs

// Request headers.
const (
	// Timeout is the time that the caller gives the request, in milliseconds.
	Timeout = "Bramley-Timeout-Millis"
	// Ticket names the ticket of a request that may not be repeated.
	Ticket = "Bramley-Ticket"
)

// Answer headers.
const (
	// Outcome is set on every answer that the system itself gives instead of the upstream.
	Outcome = "Bramley-Outcome"
	// Reason says why, in a few words.
	Reason = "Bramley-Reason"
)

// Values of Outcome.
const (
	// NotRun means that the upstream was not called for this request. Status 503.
	NotRun = "not-run"
	// Unknown means that the upstream may have run the request. Status 502 when
	// the upstream call failed, 504 when the time ran out, 409 when the ticket is
	// of another instance or no longer stored.
	Unknown = "unknown"
)

// QueueFull is the Reason of a request that found no place in the agent's queue.
const QueueFull = "queueFull"

// TicketPath issues a ticket: POST, answered with 201 and {"ticket": "..."}.
const TicketPath = "/.well-known/bramleycourse/tickets"
