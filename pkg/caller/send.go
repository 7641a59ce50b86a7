package caller

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// send sends a request on a flow and waits for the response header. It releases
// the flow when the request has failed, or when the response body is read or
// closed.
func (l *call) send(ctx context.Context, f *flow, req *http.Request) (*http.Response, error) {
	setTimeoutHeader(ctx, req)
	x := &exchange{call: l, flow: f}
	resp, err := x.run(ctx, req)
	if err != nil {
		x.end()
		f.retireIfClosed()
		return nil, l.classifySendError(ctx, err)
	}
	if err := l.outcomeError(resp); err != nil {
		x.cancel()
		x.end()
		return nil, err
	}
	resp.Request = l.req
	resp.Body = x.wrapBody(resp)
	return resp, nil
}

// setTimeoutHeader sends the agent the time left until the deadline.
func setTimeoutHeader(ctx context.Context, req *http.Request) {
	if d, ok := ctx.Deadline(); ok {
		ms := max(time.Until(d).Milliseconds(), 1)
		req.Header.Set(hdrs.Timeout, strconv.FormatInt(ms, 10))
	}
}

// retireIfClosed retires the flow if its connection has ended.
func (f *flow) retireIfClosed() {
	if !f.alive() {
		f.retire()
	}
}

// classifySendError returns a *NotRunError if the request was not sent or if the
// server rejected it, and an *UnknownError otherwise. A server rejects only
// requests that it has not processed (RFC 9114, section 4.1.1).
func (l *call) classifySendError(ctx context.Context, err error) error {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return l.notRunError("no stream", unsent.err)
	}
	var h *http3.Error
	if errors.As(err, &h) && h.Remote && h.ErrorCode == http3.ErrCodeRequestRejected {
		return l.notRunError("rejected by the server", err)
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return l.unknownError("no answer", err)
}

// outcomeError returns the error that a response of the agent itself stands for,
// or nil for a response of the upstream.
func (l *call) outcomeError(resp *http.Response) error {
	reason := resp.Header.Get(hdrs.Reason)
	switch resp.Header.Get(hdrs.Outcome) {
	case hdrs.NotRun:
		return &NotRunError{Service: l.host, Reason: reason, Answered: true}
	case hdrs.Unknown:
		return &UnknownError{Service: l.host, Reason: reason, Answered: true, Status: resp.StatusCode}
	}
	return nil
}

// unsentError means that no part of the request was sent.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

// exchange is one request on one stream.
type exchange struct {
	call *call
	flow *flow
	// cancel cancels the stream.
	cancel        func()
	stopAfterFunc func() bool
	// cleanup releases the resources of the exchange; it may be nil.
	cleanup func()
	once    sync.Once
}

func (x *exchange) run(ctx context.Context, req *http.Request) (*http.Response, error) {
	if !x.flow.alive() {
		return nil, &unsentError{context.Cause(x.flow.conn.Context())}
	}
	if x.call.body != nil {
		return x.runWithBody(ctx, req)
	}
	s, err := x.flow.http.OpenRequestStream(ctx)
	if err != nil {
		return nil, &unsentError{err}
	}
	x.cancel = func() {
		s.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		s.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
	}
	x.stopAfterFunc = context.AfterFunc(ctx, x.cancel)
	if err := s.SendRequestHeader(req); err != nil {
		x.cancel()
		return nil, errors.Trace(err)
	}
	s.Close()
	resp, err := s.ReadResponse()
	if err != nil {
		x.cancel()
	}
	return resp, errors.Trace(err)
}

// runWithBody lets the HTTP/3 library open the stream, because its request
// streams do not send a body. The library does not report whether opening the
// stream failed, so every failure counts as a lost response.
func (x *exchange) runWithBody(ctx context.Context, req *http.Request) (*http.Response, error) {
	r, err := x.call.body.reader()
	if err != nil {
		return nil, &unsentError{err}
	}
	ctx, cancel := context.WithCancel(ctx)
	req = req.WithContext(ctx)
	req.Body = r
	if b := x.call.body; b.get == nil {
		req.ContentLength = int64(len(b.bytes))
	}
	x.cleanup = cancel
	resp, err := x.flow.http.RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	x.cancel = func() { resp.Body.Close() }
	x.stopAfterFunc = context.AfterFunc(ctx, func() { resp.Body.Close() })
	return resp, nil
}

// end frees the resources of the exchange and releases the flow, once.
func (x *exchange) end() {
	x.once.Do(func() {
		if x.stopAfterFunc != nil {
			x.stopAfterFunc()
		}
		if x.cleanup != nil {
			x.cleanup()
		}
		x.flow.release()
	})
}
