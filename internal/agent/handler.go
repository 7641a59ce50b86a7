package agent

import (
	"context"
	"net/http"
	"path"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Reasons of refusals and failures, besides the verdicts of the gate.
const (
	reasonTarget      = "request target is not a path"
	reasonTimeout     = "timeout header is invalid"
	reasonBody        = "request body too long"
	reasonMethod      = "method not allowed"
	reasonUnreachable = "upstream unreachable"
	reasonFailed      = "upstream call failed"
	reasonLate        = "deadline passed"
	reasonBrokenOff   = "answer broken off"
	reasonCancelled   = "cancelled by caller"
)

// queueLimit bounds the wait for a slot of a request without a deadline.
const queueLimit = 30 * time.Second

// handler admits requests and passes them on to the upstream.
type handler struct {
	upstream *upstream
	gate     *admission
	tickets  *ticketStore
	refusals *reasons
	// place and group are those of the upstream, for its declared weight.
	place, group string
	// service is the declared service; replaced when a configuration comes into force.
	service atomic.Pointer[decl.Service]
	// requested is called with the context of each request.
	requested func(ctx context.Context)
	requests  atomic.Uint64
	// active counts the requests in progress and the ticket runs, which may
	// outlive their callers' streams.
	active atomic.Int64
}

// configure puts a declared service in force.
func (h *handler) configure(s decl.Service) {
	s.Limits = s.Limits.WithDefaults()
	h.service.Store(&s)
	l := gateLimits(s.Limits)
	l.Weight = shareWeight(s.Shares, h.place, h.group)
	h.gate.setLimits(l)
}

func gateLimits(l decl.Limits) admit.Limits {
	return admit.Limits{Slots: l.Slots, Queue: l.Queue, Connections: l.Connections}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Add(1)
	h.active.Add(1)
	defer h.active.Add(-1)
	h.requested(r.Context())
	deadline, reason := check(r)
	switch {
	case r.Header.Get(hdrs.Ticket) != "":
		h.serveTicket(w, r, deadline, reason)
	case reason != "":
		h.refuse(w, http.StatusBadRequest, reason)
	case r.URL.Path == hdrs.TicketPath:
		h.issue(w, r)
	default:
		h.serve(w, r, deadline)
	}
}

// check returns the deadline of a request, zero without one, or the reason why
// the request is at fault.
func check(r *http.Request) (deadline time.Time, reason string) {
	if !strings.HasPrefix(r.URL.RequestURI(), "/") || r.Method == http.MethodConnect {
		return time.Time{}, reasonTarget
	}
	d, ok := timeout(r)
	if !ok {
		return time.Time{}, reasonTimeout
	}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	return deadline, ""
}

// serve runs a request that may be repeated by its caller's own judgement.
func (h *handler) serve(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	o := h.outgoing(r, deadline, false)
	if o == nil {
		h.refuse(w, http.StatusRequestEntityTooLarge, reasonBody)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if !deadline.IsZero() {
		late := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
		defer late.Stop()
	}
	if !h.streams(r.URL.Path) {
		if v := h.enter(ctx, deadline); v != admit.Run {
			h.refuse(w, http.StatusServiceUnavailable, string(v))
			return
		}
		defer h.gate.leave()
	}
	resp, err := h.upstream.call(ctx, o)
	if err != nil {
		h.fail(w, ctx, err)
		return
	}
	defer resp.Body.Close()
	h.answer(w, r, resp)
}

// outgoing prepares the request to the upstream, or returns nil if the body is
// too long. A body that ends early resets the stream, which tells the caller
// nothing about the outcome.
func (h *handler) outgoing(r *http.Request, deadline time.Time, whole bool) *outgoing {
	body, n, err := requestBody(r, h.service.Load().Limits.RequestBytes, whole)
	var tooLong *bodySizeError
	if errors.As(err, &tooLong) {
		return nil
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &outgoing{
		method: r.Method, uri: r.URL.RequestURI(), host: r.Host,
		header: requestHeader(r, deadline, time.Now()),
		body:   body, length: n,
	}
}

// enter waits for a slot; a request without a deadline waits for queueLimit.
func (h *handler) enter(ctx context.Context, deadline time.Time) admit.Verdict {
	if deadline.IsZero() {
		deadline = time.Now().Add(queueLimit)
	}
	return h.gate.enter(ctx, deadline)
}

// streams says whether a path holds no slot. The path is cleaned first, so
// that dot segments do not lead around the slots.
func (h *handler) streams(p string) bool {
	c := path.Clean(p)
	if strings.HasSuffix(p, "/") && c != "/" {
		c += "/"
	}
	for _, prefix := range h.service.Load().StreamPaths {
		if strings.HasPrefix(c, prefix) {
			return true
		}
	}
	return false
}

// refuse answers a request for which the upstream was not called.
func (h *handler) refuse(w http.ResponseWriter, status int, reason string) {
	h.refusals.add("notRun", reason)
	own(w, status, hdrs.NotRun, reason)
}

// unknown answers a request that the upstream may have run.
func (h *handler) unknown(w http.ResponseWriter, status int, reason string) {
	h.refusals.add("unknown", reason)
	own(w, status, hdrs.Unknown, reason)
}

// own writes an answer of the system itself.
func own(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(hdrs.Outcome, outcome)
	w.Header().Set(hdrs.Reason, reason)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// fail answers a request whose call of the upstream failed.
func (h *handler) fail(w http.ResponseWriter, ctx context.Context, err error) {
	var c *callError
	if errors.As(err, &c) && !c.called {
		h.refuse(w, http.StatusServiceUnavailable, notCalledReason(ctx))
		return
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		h.unknown(w, http.StatusGatewayTimeout, reasonLate)
		return
	}
	h.unknown(w, http.StatusBadGateway, reasonFailed)
}

func notCalledReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return string(admit.Deadline)
	}
	return reasonUnreachable
}

// answer copies an answer of the upstream. One that breaks off is broken off
// towards the caller too, so that it never looks complete.
func (h *handler) answer(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	writeHeader(w, resp.StatusCode, answerHeader(resp.Header))
	if err := copyFlush(w, resp.Body); err != nil {
		h.breakOff(r.Context())
	}
	writeTrailer(w, trailer(resp))
}

// breakOff resets the stream of an answer that cannot be completed. A caller
// that closed a feed or download itself is no fault and is not logged.
func (h *handler) breakOff(ctx context.Context) {
	if cancelled(ctx) {
		h.refusals.count("reset", reasonCancelled)
	} else {
		h.refusals.add("reset", reasonBrokenOff)
	}
	panic(http.ErrAbortHandler)
}

// cancelled says whether the context of a request ended because the caller
// cancelled the request or closed the connection. A connection that timed out
// or that the agent closed is a break.
func cancelled(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	var (
		idle *quic.IdleTimeoutError
		app  *quic.ApplicationError
	)
	cause := context.Cause(ctx)
	if errors.As(cause, &app) {
		return app.Remote
	}
	return !errors.As(cause, &idle)
}

func writeHeader(w http.ResponseWriter, status int, h http.Header) {
	for k, v := range h {
		w.Header()[k] = v
	}
	w.WriteHeader(status)
}

// trailer returns the fields after the body of an answer, which has been read.
func trailer(resp *http.Response) http.Header { return answerHeader(resp.Trailer) }

// writeTrailer sends the fields that follow a body.
func writeTrailer(w http.ResponseWriter, h http.Header) {
	for k, v := range h {
		w.Header()[http.TrailerPrefix+k] = v
	}
}
