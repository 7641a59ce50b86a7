// Package caller is an HTTP/3 client for services behind bramleycourse. It
// looks like a net/http client and adds what the balancer's guarantees need at
// the caller's end.
//
// # Outcomes
//
// A request ends in one of three ways: with an answer, with a *NotRunError
// (the request certainly did not run) or with an *UnknownError (it may have
// run). GET, HEAD, OPTIONS, TRACE and requests passed through MarkIdempotent
// are sent again after a definite not-run or when no connection existed, each
// time on a new flow, with jittered exponential backoff and within a retry
// budget. Nothing is sent again that may have run.
//
// All other requests are sent with a ticket, which one agent runs at most once.
// When the answer is lost, the same ticket is repeated to learn the answer; a
// repetition never runs the request again. The body of such a request and its
// answer are kept in memory, up to the limits set by WithBodyLimit.
//
// An answer's body that ends early is a *TruncatedError, never io.EOF.
//
// # Flows
//
// A flow is one QUIC connection and stays with one upstream. A Client opens
// further flows to a service when those open are in use, moves on to a new one
// after a not-run or when the server announces its end (GOAWAY), and closes
// idle ones. When a path goes silent, the flow moves to a new UDP socket and
// goes on.
//
// # Feeds
//
// Client.Feed reads server-sent events. A planned end of the server moves the
// feed to a new flow before the old one is closed; each event is passed once
// and in order. After an unplanned break the feed continues after the last
// event id, and FeedStats counts the break.
package caller
