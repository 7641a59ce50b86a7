package agent

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ticket"
)

const (
	// dialTimeout bounds a connection attempt to the upstream, which is on the
	// same VM.
	dialTimeout = 2 * time.Second
	// upstreamBufferSize is the size of each of the two buffers of an upstream
	// connection, which every open feed holds.
	upstreamBufferSize = 2 << 10
	// maxUpstreamHeaderBytes bounds the header of an answer.
	maxUpstreamHeaderBytes = 256 << 10
)

// upstream is the HTTP client of the upstream process.
type upstream struct {
	base      string
	transport *http.Transport
	// onDial is called with the result of each connection attempt.
	onDial func(err error)
}

// newUpstream returns a client that keeps no idle connections: net/http resends
// a request if a reused connection ends before the answer, but a request that
// may have reached the upstream must not be sent again.
func newUpstream(base string, onDial func(err error)) *upstream {
	u := &upstream{base: base, onDial: onDial}
	d := net.Dialer{Timeout: dialTimeout}
	u.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if ctx.Err() == nil {
				u.onDial(err)
			}
			return c, err
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		WriteBufferSize:        upstreamBufferSize,
		ReadBufferSize:         upstreamBufferSize,
		MaxResponseHeaderBytes: maxUpstreamHeaderBytes,
	}
	return u
}

// callError reports a failed upstream call.
type callError struct {
	// called is true if the upstream may have received part of the request.
	called bool
	cause  error
}

// Error implements error.
func (e *callError) Error() string { return "upstream call: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// upstreamRequest is a request to send to the upstream.
type upstreamRequest struct {
	method, uri, host string
	header            http.Header
	body              io.Reader
	// length is the length of the body, or -1 if it is unknown.
	length int64
	// onCall is called before the first byte of the request is sent.
	onCall func()
}

// hash identifies a request by method, target and body; the body must be in
// memory.
func (o *upstreamRequest) hash() ticket.Hash {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s %s\n", o.method, o.uri)
	if b, ok := o.body.(*bytes.Reader); ok {
		b.WriteTo(sum)
		b.Seek(0, io.SeekStart)
	}
	return ticket.Hash(sum.Sum(nil))
}

// call sends a request once. Its error is a *callError.
func (u *upstream) call(ctx context.Context, o *upstreamRequest) (*http.Response, error) {
	var called atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		called.Store(true)
		if o.onCall != nil {
			o.onCall()
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), o.method, u.base+o.uri, o.body)
	if err != nil {
		return nil, &callError{cause: errors.Trace(err)}
	}
	req.GetBody = nil // keeps net/http from sending the body again
	req.ContentLength = o.length
	if o.length == 0 {
		req.Body = http.NoBody
	}
	req.Host = o.host
	req.Header = o.header
	resp, err := u.transport.RoundTrip(req)
	if err != nil {
		return nil, &callError{called: called.Load(), cause: err}
	}
	return resp, nil
}
