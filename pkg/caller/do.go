package caller

import (
	"context"
	"fmt"
	"net"
	"net/http"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// idempotencyKey is the header by which net/http recognises idempotent
// requests. An entry without values marks the request and is not sent.
const idempotencyKey = "Idempotency-Key"

// MarkIdempotent marks a request that may run more than once and returns it. As
// in net/http, the mark is an entry without values for the header
// Idempotency-Key. The request is sent without a ticket.
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

// Do sends a request and returns its response, a *NotRunError or an
// *UnknownError. Other errors mean that the request itself is invalid and that
// nothing was sent. The time left until the deadline of the request's context is
// sent to the agent. As with net/http, the response body must be closed.
func (c *Client) Do(req *http.Request) (*http.Response, error) {
	host, err := hostOf(req)
	if err != nil {
		return nil, err
	}
	b, err := c.newRequestBody(req)
	if err != nil {
		return nil, err
	}
	c.stats.requests.Add(1)
	c.countRequest()
	call := &call{client: c, req: req, host: host, body: b}
	try := call.tryWithTicket
	if idempotent(req) {
		try = call.tryWithoutTicket
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

// hostOf returns the host and port of the request's URL.
func hostOf(req *http.Request) (string, error) {
	if req.URL == nil || req.URL.Scheme != "https" || req.URL.Host == "" {
		return "", fmt.Errorf("request needs an https URL with a host, not %q", req.URL)
	}
	if req.URL.Port() == "" {
		return net.JoinHostPort(req.URL.Hostname(), "443"), nil
	}
	return req.URL.Host, nil
}

// retry calls try again after a *NotRunError, within the limit on attempts and
// the retry budget.
func (c *Client) retry(ctx context.Context, try func(context.Context) (*http.Response, error)) (*http.Response, error) {
	for n := 1; ; n++ {
		resp, err := try(ctx)
		var notRun *NotRunError
		if !errors.As(err, &notRun) {
			return resp, err
		}
		notRun.Attempts = n
		if n >= c.settings.attempts || ctx.Err() != nil || !c.spendRetry() || !c.waitBackoff(ctx, n) {
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
	body   *requestBody
	// queueFullFlow is the flow whose agent refused the last attempt because its
	// queue was full, or nil.
	queueFullFlow *flow
}

// retireRefusing retires the flow of an attempt that was not run. If the queue
// was full, the flow is retired only when the request is retried: otherwise each
// refusal by an overloaded service would cause a handshake outside the retry
// budget.
func (l *call) retireRefusing(f *flow, err error) {
	var e *NotRunError
	switch {
	case !errors.As(err, &e):
	case e.Reason == hdrs.QueueFull:
		l.queueFullFlow = f
	default:
		f.retire()
	}
}

// retireQueueFullFlow makes the next attempt avoid the flow whose agent had a
// full queue.
func (l *call) retireQueueFullFlow() {
	if l.queueFullFlow != nil {
		l.queueFullFlow.retire()
		l.queueFullFlow = nil
	}
}

// acquire returns a flow, or a *NotRunError if there is none.
func (l *call) acquire(ctx context.Context) (*flow, error) {
	f, err := l.client.acquire(ctx, l.host)
	if err != nil {
		return nil, l.notRunError("no connection", err)
	}
	return f, nil
}

func (l *call) notRunError(reason string, err error) *NotRunError {
	return &NotRunError{Service: l.host, Reason: reason, Err: err}
}

func (l *call) unknownError(reason string, err error) *UnknownError {
	return &UnknownError{Service: l.host, Reason: reason, Err: err}
}

// tryWithoutTicket makes one attempt to send an idempotent request.
func (l *call) tryWithoutTicket(ctx context.Context) (*http.Response, error) {
	l.retireQueueFullFlow()
	f, err := l.acquire(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := l.send(ctx, f, l.req.Clone(ctx))
	l.retireRefusing(f, err)
	return resp, err
}
