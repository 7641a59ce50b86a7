// Package caller is an HTTP/3 client for services behind bramleycourse. It
// looks like a net/http client and implements the caller's side of the
// balancer's guarantees.
//
// # Outcomes
//
// A request ends in one of three ways: with a response, with a *NotRunError
// (the request certainly did not run) or with an *UnknownError (it may have
// run). A request is retried when it did not run or when no connection could be
// opened, with jittered exponential backoff and within a retry budget. A retry
// doesn't use the flow that failed: it takes another open flow or opens a new one.
// A request that may have run is never retried.
//
// All requests other than GET, HEAD, OPTIONS, TRACE and those passed through
// MarkIdempotent are sent with a ticket, which one agent runs at most once.
// When the response is lost, the client sends the same ticket again to learn
// the outcome; this never runs the request a second time. The body of such a
// request and its response are kept in memory, up to the limit set by
// WithBodyLimit.
//
// A response body that ends early yields a *TruncatedError, never io.EOF.
//
// # Flows
//
// A flow is one QUIC connection and stays with one upstream. A Client opens
// further flows to a service when the open ones are in use, changes to another
// flow after a request that was not run or when the server sends GOAWAY, and
// closes idle flows. When the server stops answering on a path, the connection
// migrates to a new UDP socket.
//
// # Feeds
//
// Client.Feed reads server-sent events. When the server sends GOAWAY, the feed
// moves to a new flow before the old one is closed, and each event is delivered
// once and in order. After an unplanned break the feed is reopened with the last
// event ID, and FeedStats counts the break.
package caller
