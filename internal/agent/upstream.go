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
	// dialTimeout bounds a connection attempt to the upstream, which is on the same VM.
	dialTimeout = 2 * time.Second
	// upstreamBuffer is the size of both buffers of an upstream connection, which
	// each open feed holds.
	upstreamBuffer = 2 << 10
	// upstreamHeaderLimit bounds the header of an answer in octets.
	upstreamHeaderLimit = 256 << 10
)

// upstream calls the upstream process.
type upstream struct {
	base      string
	transport *http.Transport
	// dialed is called with the result of each connection attempt.
	dialed func(err error)
}

// newUpstream returns a client without idle connections: net/http sends a
// request again when a reused connection ends before the answer, and a
// request that may have reached the upstream must not be sent again.
func newUpstream(base string, dialed func(err error)) *upstream {
	u := &upstream{base: base, dialed: dialed}
	d := net.Dialer{Timeout: dialTimeout}
	u.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if ctx.Err() == nil {
				u.dialed(err)
			}
			return c, err
		},
		DisableKeepAlives:      true,
		DisableCompression:     true,
		WriteBufferSize:        upstreamBuffer,
		ReadBufferSize:         upstreamBuffer,
		MaxResponseHeaderBytes: upstreamHeaderLimit,
	}
	return u
}

// callError is a failed call of the upstream.
type callError struct {
	// called is true if the upstream may have received a part of the request.
	called bool
	cause  error
}

// Error implements error.
func (e *callError) Error() string { return "upstream call: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// outgoing is a request to the upstream.
type outgoing struct {
	method, uri, host string
	header            http.Header
	body              io.Reader
	// length is that of the body, or -1 if it is unknown.
	length int64
	// called is run before the first octet of the request is sent.
	called func()
}

// hash identifies a request whose body is in memory by method, target and body.
func (o *outgoing) hash() ticket.Hash {
	sum := sha256.New()
	fmt.Fprintf(sum, "%s %s\n", o.method, o.uri)
	if b, ok := o.body.(*bytes.Reader); ok {
		b.WriteTo(sum)
		b.Seek(0, io.SeekStart)
	}
	return ticket.Hash(sum.Sum(nil))
}

// call sends a request once. Its error is a *callError.
func (u *upstream) call(ctx context.Context, o *outgoing) (*http.Response, error) {
	var called atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		called.Store(true)
		if o.called != nil {
			o.called()
		}
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), o.method, u.base+o.uri, o.body)
	if err != nil {
		return nil, &callError{cause: errors.Trace(err)}
	}
	req.GetBody = nil // net/http needs it to send a body again
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
