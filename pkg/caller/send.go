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

// send sends a request on a flow and waits for the head of the answer. It
// gives back the flow's place, after the body of the answer if there is one.
func (l *call) send(ctx context.Context, f *flow, req *http.Request) (*http.Response, error) {
	setTimeout(ctx, req)
	x := &exchange{call: l, flow: f}
	resp, err := x.run(ctx, req)
	if err != nil {
		x.end()
		f.retireDead()
		return nil, l.sendError(ctx, err)
	}
	if err := l.outcome(resp); err != nil {
		x.cancel()
		x.end()
		return nil, err
	}
	resp.Request = l.req
	resp.Body = x.wrap(resp)
	return resp, nil
}

// setTimeout tells the agent the time that is left.
func setTimeout(ctx context.Context, req *http.Request) {
	if d, ok := ctx.Deadline(); ok {
		ms := max(time.Until(d).Milliseconds(), 1)
		req.Header.Set(hdrs.Timeout, strconv.FormatInt(ms, 10))
	}
}

// retireDead takes the flow out of service when its connection has ended.
func (f *flow) retireDead() {
	if !f.alive() {
		f.retire()
	}
}

// sendError tells a rejection, which is sent only for requests that were not
// looked at (RFC 9114, section 4.1.1), from a lost answer.
func (l *call) sendError(ctx context.Context, err error) error {
	var unsent *unsentError
	if errors.As(err, &unsent) {
		return l.notSent("no stream", unsent.err)
	}
	var h *http3.Error
	if errors.As(err, &h) && h.Remote && h.ErrorCode == http3.ErrCodeRequestRejected {
		return l.notSent("rejected by the server", err)
	}
	if ctx.Err() != nil {
		err = ctx.Err()
	}
	return l.lost("no answer", err)
}

// outcome returns the error that an answer of the system itself stands for.
func (l *call) outcome(resp *http.Response) error {
	reason := resp.Header.Get(hdrs.Reason)
	switch resp.Header.Get(hdrs.Outcome) {
	case hdrs.NotRun:
		return &NotRunError{Service: l.host, Reason: reason, Answered: true}
	case hdrs.Unknown:
		return &UnknownError{Service: l.host, Reason: reason, Answered: true, Status: resp.StatusCode}
	}
	return nil
}

// unsentError says that nothing of the request left the caller.
type unsentError struct{ err error }

// Error implements error.
func (e *unsentError) Error() string { return e.err.Error() }

// exchange is one request on one stream.
type exchange struct {
	call *call
	flow *flow
	// cancel gives up the stream.
	cancel func()
	stop   func() bool
	// free releases what belongs to the exchange; it may be nil.
	free func()
	once sync.Once
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
	x.stop = context.AfterFunc(ctx, x.cancel)
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

// runWithBody leaves the opening of the stream to the HTTP/3 library, whose
// streams take no body. It does not tell whether opening failed, so every
// failure counts as a lost answer.
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
	x.free = cancel
	resp, err := x.flow.http.RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	x.cancel = func() { resp.Body.Close() }
	x.stop = context.AfterFunc(ctx, func() { resp.Body.Close() })
	return resp, nil
}

// end gives back the flow's place, once.
func (x *exchange) end() {
	x.once.Do(func() {
		if x.stop != nil {
			x.stop()
		}
		if x.free != nil {
			x.free()
		}
		x.flow.release()
	})
}
