package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// idempotencyKey is the header by which net/http knows idempotent requests. A
// key without values marks the request and is not sent.
const idempotencyKey = "Idempotency-Key"

// MarkIdempotent marks a request as one that may run more than once, as
// net/http does: by an entry without values for the header Idempotency-Key. It
// is sent without a ticket. It returns the request.
func MarkIdempotent(req *http.Request) *http.Request {
	req.Header[idempotencyKey] = nil
	return req
}

func idempotent(req *http.Request) bool {
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	_, marked := req.Header[idempotencyKey]
	return marked
}

// Do sends a request and returns its answer, a *NotRunError or an
// *UnknownError. Other errors mean that the request itself is unusable and that
// nothing was sent. The deadline of the request's context is sent along. As
// with net/http, the answer's body must be closed.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	host, err := hostOf(req)
	if err != nil {
		return nil, err
	}
	b, err := c.takeBody(req)
	if err != nil {
		return nil, err
	}
	c.stats.requests.Add(1)
	c.countRequest()
	call := &call{client: c, req: req, host: host, body: b}
	try := call.tryTicket
	if idempotent(req) {
		try = call.tryOnce
	}
	resp, err := c.retry(req.Context(), try)
	c.countOutcome(err)
	return resp, err
}

func (c *Client) countRequest() {
	c.mu.Lock()
	c.budget.Request(now())
	c.mu.Unlock()
}

func (c *Client) countOutcome(err error) {
	var (
		notRun  *NotRunError
		unknown *UnknownError
	)
	switch {
	case errors.As(err, &unknown):
		c.stats.unknown.Add(1)
	case errors.As(err, &notRun):
		c.stats.notRun.Add(1)
	}
}

// hostOf returns the host and port that a request goes to.
func hostOf(req *http.Request) (string, error) {
	if req.URL == nil || req.URL.Scheme != "https" || req.URL.Host == "" {
		return "", fmt.Errorf("request needs an https URL with a host, not %q", req.URL)
	}
	if req.URL.Port() == "" {
		return net.JoinHostPort(req.URL.Hostname(), "443"), nil
	}
	return req.URL.Host, nil
}

// retry tries again after a definite not-run, within the attempts and the budget.
func (c *Client) retry(ctx context.Context, try func(context.Context) (*http.Response, error)) (*http.Response, error) {
	for n := 1; ; n++ {
		resp, err := try(ctx)
		var notRun *NotRunError
		if !errors.As(err, &notRun) {
			return resp, err
		}
		notRun.Attempts = n
		if n >= c.settings.attempts || ctx.Err() != nil || !c.mayRetry() || !c.pause(ctx, n) {
			return nil, err
		}
		c.stats.retries.Add(1)
	}
}

// call is one request with all its attempts.
type call struct {
	client *Client
	req    *http.Request
	host   string
	body   *body
	// busy is the flow whose agent refused the last attempt for its full queue.
	busy *flow
}

// refused retires the flow of an attempt that was not run. One with a full
// queue is retired only when the request is tried again: otherwise each refusal
// of an overloaded service would cost it a handshake, outside the retry budget.
func (l *call) refused(f *flow, err error) {
	var e *NotRunError
	switch {
	case !errors.As(err, &e):
	case e.Reason == hdrs.QueueFull:
		l.busy = f
	default:
		f.retire()
	}
}

// leaveBusy makes the next attempt use another flow than a busy one.
func (l *call) leaveBusy() {
	if l.busy != nil {
		l.busy.retire()
		l.busy = nil
	}
}

// acquire returns a flow; without one the request was not run.
func (l *call) acquire(ctx context.Context) (*flow, error) {
	f, err := l.client.acquire(ctx, l.host)
	if err != nil {
		return nil, l.notSent("no connection", err)
	}
	return f, nil
}

func (l *call) notSent(reason string, err error) *NotRunError {
	return &NotRunError{Service: l.host, Reason: reason, Err: err}
}

func (l *call) lost(reason string, err error) *UnknownError {
	return &UnknownError{Service: l.host, Reason: reason, Err: err}
}

// tryOnce sends a request without a ticket.
func (l *call) tryOnce(ctx context.Context) (*http.Response, error) {
	l.leaveBusy()
	f, err := l.acquire(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := l.send(ctx, f, l.req.Clone(ctx))
	l.refused(f, err)
	return resp, err
}
