// Package hdrs defines the HTTP headers and paths used between the caller library
// and the agent.
package hdrs

// Request headers.
const (
	// Timeout is the time left for the request, in milliseconds.
	Timeout = "Bramley-Timeout-Millis"
	// Ticket carries the ticket of a request that must not run more than once.
	Ticket = "Bramley-Ticket"
)

// Response headers.
const (
	// Outcome is set on every response that the agent gives in place of the
	// upstream.
	Outcome = "Bramley-Outcome"
	// Reason says in a few words why the agent responded itself.
	Reason = "Bramley-Reason"
)

// Values of Outcome.
const (
	// NotRun means that the upstream was not called for this request. The status
	// is 503.
	NotRun = "not-run"
	// Unknown means that the upstream may have run the request. The status is 502
	// when the upstream call failed, 504 when the deadline passed, and 409 when
	// the ticket belongs to another instance or is no longer stored.
	Unknown = "unknown"
)

// QueueFull is the Reason when the queue of the agent is full.
const QueueFull = "queueFull"

// TicketPath is the path that issues a ticket. A POST is answered with status 201
// and {"ticket": "..."}.
const TicketPath = "/.well-known/bramleycourse/tickets"
