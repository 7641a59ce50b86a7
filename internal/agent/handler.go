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

// Reasons of refusals and failures, in addition to the verdicts of package admit.
const (
	reasonTarget      = "request target is not a path"
	reasonTimeout     = "timeout header is invalid"
	reasonBody        = "request body too long"
	reasonMethod      = "method not allowed"
	reasonUnreachable = "upstream unreachable"
	reasonCallFailed  = "upstream call failed"
	reasonDeadline    = "deadline passed"
	reasonBrokenOff   = "answer broken off"
	reasonCancelled   = "cancelled by caller"
)

// maxQueueWait bounds the wait for a slot of a request without a deadline.
const maxQueueWait = 30 * time.Second

// handler admits requests and sends them to the upstream.
type handler struct {
	upstream  *upstream
	admission *admission
	tickets   *ticketStore
	refusals  *refusalCounter
	// place and group are those of the upstream; they select its declared
	// weight.
	place, group string
	// service is the declared service, replaced by each new configuration.
	service atomic.Pointer[decl.Service]
	// onRequest is called with the context of each request.
	onRequest func(ctx context.Context)
	requests  atomic.Uint64
	// active counts the requests in progress and the ticket runs; a run may
	// outlive its caller's stream.
	active atomic.Int64
}

// configure applies the limits, stream paths and weight of a declared service.
func (h *handler) configure(s decl.Service) {
	s.Limits = s.Limits.WithDefaults()
	h.service.Store(&s)
	l := admissionLimits(s.Limits)
	l.Weight = shareWeight(s.Shares, h.place, h.group)
	h.admission.setLimits(l)
}

func admissionLimits(l decl.Limits) admit.Limits {
	return admit.Limits{Slots: l.Slots, Queue: l.Queue, Connections: l.Connections}
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.requests.Add(1)
	h.active.Add(1)
	defer h.active.Add(-1)
	h.onRequest(r.Context())
	deadline, reason := checkRequest(r)
	switch {
	case r.Header.Get(hdrs.Ticket) != "":
		h.serveTicket(w, r, deadline, reason)
	case reason != "":
		h.answerNotRun(w, http.StatusBadRequest, reason)
	case r.URL.Path == hdrs.TicketPath:
		h.issueTicket(w, r)
	default:
		h.serveWithoutTicket(w, r, deadline)
	}
}

// checkRequest returns the deadline of a request, zero if it has none, or the
// reason why the request is invalid.
func checkRequest(r *http.Request) (deadline time.Time, reason string) {
	if !strings.HasPrefix(r.URL.RequestURI(), "/") || r.Method == http.MethodConnect {
		return time.Time{}, reasonTarget
	}
	d, ok := callerTimeout(r)
	if !ok {
		return time.Time{}, reasonTimeout
	}
	if d > 0 {
		deadline = time.Now().Add(d)
	}
	return deadline, ""
}

// serveWithoutTicket runs a request without a ticket; whether to repeat it is
// up to the caller.
func (h *handler) serveWithoutTicket(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	o := h.newUpstreamRequest(r, deadline, false)
	if o == nil {
		h.answerNotRun(w, http.StatusRequestEntityTooLarge, reasonBody)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	if !deadline.IsZero() {
		timer := time.AfterFunc(time.Until(deadline), func() { cancel(context.DeadlineExceeded) })
		defer timer.Stop()
	}
	if !h.isStreamPath(r.URL.Path) {
		if v := h.acquireSlot(ctx, deadline); v != admit.Run {
			h.answerNotRun(w, http.StatusServiceUnavailable, string(v))
			return
		}
		defer h.admission.releaseSlot()
	}
	resp, err := h.upstream.call(ctx, o)
	if err != nil {
		h.answerFailedCall(w, ctx, err)
		return
	}
	defer resp.Body.Close()
	h.copyAnswer(w, r, resp)
}

// newUpstreamRequest builds the request to the upstream, or returns nil if the
// body is too long. If reading the body fails, newUpstreamRequest panics with
// http.ErrAbortHandler. This resets the stream, which tells the caller nothing
// about the outcome.
func (h *handler) newUpstreamRequest(r *http.Request, deadline time.Time, readAll bool) *upstreamRequest {
	body, length, err := requestBody(r, h.service.Load().Limits.RequestBytes, readAll)
	var tooLong *bodySizeError
	if errors.As(err, &tooLong) {
		return nil
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return &upstreamRequest{
		method: r.Method, uri: r.URL.RequestURI(), host: r.Host,
		header: requestHeader(r, deadline, time.Now()),
		body:   body, length: length,
	}
}

// acquireSlot waits for a slot; a request without a deadline waits for at most
// maxQueueWait.
func (h *handler) acquireSlot(ctx context.Context, deadline time.Time) admit.Verdict {
	if deadline.IsZero() {
		deadline = time.Now().Add(maxQueueWait)
	}
	return h.admission.acquireSlot(ctx, deadline)
}

// isStreamPath reports whether requests for a path need no slot. The path is
// cleaned first, so that dot segments cannot bypass the slots.
func (h *handler) isStreamPath(p string) bool {
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

// answerNotRun refuses a request for which the upstream was not called.
func (h *handler) answerNotRun(w http.ResponseWriter, status int, reason string) {
	h.refusals.add("notRun", reason)
	writeOutcome(w, status, hdrs.NotRun, reason)
}

// answerUnknown answers a request that the upstream may have run but whose
// answer is not available.
func (h *handler) answerUnknown(w http.ResponseWriter, status int, reason string) {
	h.refusals.add("unknown", reason)
	writeOutcome(w, status, hdrs.Unknown, reason)
}

// writeOutcome writes an empty answer of the agent itself, with its outcome and
// reason.
func writeOutcome(w http.ResponseWriter, status int, outcome, reason string) {
	w.Header().Set(hdrs.Outcome, outcome)
	w.Header().Set(hdrs.Reason, reason)
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// answerFailedCall answers a request whose upstream call failed.
func (h *handler) answerFailedCall(w http.ResponseWriter, ctx context.Context, err error) {
	var c *callError
	if errors.As(err, &c) && !c.called {
		h.answerNotRun(w, http.StatusServiceUnavailable, notCalledReason(ctx))
		return
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		h.answerUnknown(w, http.StatusGatewayTimeout, reasonDeadline)
		return
	}
	h.answerUnknown(w, http.StatusBadGateway, reasonCallFailed)
}

func notCalledReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return string(admit.Deadline)
	}
	return reasonUnreachable
}

// copyAnswer copies an answer of the upstream. If the answer is incomplete, the
// stream is reset so that the caller does not take it for complete.
func (h *handler) copyAnswer(w http.ResponseWriter, r *http.Request, resp *http.Response) {
	writeHeader(w, resp.StatusCode, answerHeader(resp.Header))
	if err := copyAndFlush(w, resp.Body); err != nil {
		h.resetStream(r.Context())
	}
	writeTrailer(w, trailer(resp))
}

// resetStream resets the stream of an answer that cannot be completed. It logs
// nothing if the caller itself closed a feed or download.
func (h *handler) resetStream(ctx context.Context) {
	if cancelledByCaller(ctx) {
		h.refusals.count("reset", reasonCancelled)
	} else {
		h.refusals.add("reset", reasonBrokenOff)
	}
	panic(http.ErrAbortHandler)
}

// cancelledByCaller reports whether a request's context ended because the
// caller cancelled the request or closed the connection, and not because the
// connection timed out or the agent closed it.
func cancelledByCaller(ctx context.Context) bool {
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

// trailer returns the trailer fields of an answer whose body has been read.
func trailer(resp *http.Response) http.Header { return answerHeader(resp.Trailer) }

// writeTrailer sets the trailer fields to send after the body.
func writeTrailer(w http.ResponseWriter, h http.Header) {
	for k, v := range h {
		w.Header()[http.TrailerPrefix+k] = v
	}
}
