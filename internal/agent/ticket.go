package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
)

// ticketAnswer is the body of the answer to a request for a ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

// issueTicket answers a request for a ticket.
func (h *handler) issueTicket(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.answerNotRun(w, http.StatusMethodNotAllowed, reasonMethod)
		return
	}
	h.tickets.mu.Lock()
	text, reason := h.tickets.store.Issue(time.Now())
	h.tickets.mu.Unlock()
	if reason != ticket.ReasonNone {
		h.answerNotRun(w, http.StatusServiceUnavailable, string(reason))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	json.NewEncoder(w).Encode(ticketAnswer{text})
}

// serveTicket runs a request with a ticket, or answers its repetition. It reads
// the body first, so that a caller that leaves during the upload does not use
// up the ticket. The reason says why the request is invalid, or is empty.
func (h *handler) serveTicket(w http.ResponseWriter, r *http.Request, deadline time.Time, reason string) {
	text := r.Header.Get(hdrs.Ticket)
	if reason == "" && r.URL.Path == hdrs.TicketPath {
		reason = reasonTarget
	}
	if reason != "" {
		h.rejectTicket(w, text, http.StatusBadRequest, reason)
		return
	}
	o := h.newUpstreamRequest(r, deadline, true)
	if o == nil {
		h.rejectTicket(w, text, http.StatusRequestEntityTooLarge, reasonBody)
		return
	}
	d, run := h.tickets.begin(text, o.hash())
	switch d.Action {
	case ticket.Run:
		h.active.Add(1)
		go h.runTicket(context.WithoutCancel(r.Context()), r.URL.Path, run, o, deadline)
		h.awaitRun(w, r, run, deadline, true)
	case ticket.Wait:
		h.awaitRun(w, r, run, deadline, false)
	case ticket.Replay:
		writeAnswer(w, d.Answer)
	case ticket.NotRun:
		h.answerNotRun(w, http.StatusServiceUnavailable, string(d.Reason))
	default:
		h.answerUnknown(w, http.StatusConflict, string(d.Reason))
	}
}

// rejectTicket answers an invalid request with a ticket. It answers not-run
// only if the ticket has not begun or was refused. Otherwise this request is an
// invalid repetition, and the first request may have run.
func (h *handler) rejectTicket(w http.ResponseWriter, text string, status int, reason string) {
	first, notRun := h.tickets.reject(text, reason)
	switch {
	case !notRun:
		h.answerUnknown(w, status, reason)
	case first == reason:
		h.answerNotRun(w, status, reason)
	default:
		h.answerNotRun(w, http.StatusServiceUnavailable, first)
	}
}

// runTicket runs a request with a ticket. It continues when the caller's stream
// ends.
func (h *handler) runTicket(ctx context.Context, path string, r *ticketRun, o *upstreamRequest, deadline time.Time) {
	defer h.active.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	if !h.isStreamPath(path) {
		if v := h.acquireSlot(ctx, deadline); v != admit.Run {
			h.tickets.endNotRun(r, string(v))
			return
		}
		defer h.admission.releaseSlot()
	}
	o.onCall = func() { h.tickets.markCalled(r) }
	resp, err := h.upstream.call(ctx, o)
	if err != nil {
		h.endFailedRun(r, err)
		return
	}
	defer resp.Body.Close()
	limit := h.tickets.limits.AnswerBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		h.tickets.endUnknown(r, http.StatusBadGateway, reasonBrokenOff)
		return
	}
	a := &ticket.Answer{Status: resp.StatusCode, Header: answerHeader(resp.Header), Body: body}
	if len(body) <= limit {
		a.Trailer = trailer(resp)
		h.tickets.endAnswered(r, a, nil)
		return
	}
	h.tickets.endAnswered(r, a, resp)
	<-r.copied
	io.Copy(io.Discard, resp.Body) // the upstream may abort its work if its answer is not read
}

func (h *handler) endFailedRun(r *ticketRun, err error) {
	var c *callError
	if errors.As(err, &c) && !c.called {
		h.tickets.endNotRun(r, reasonUnreachable)
		return
	}
	h.tickets.endUnknown(r, http.StatusBadGateway, reasonCallFailed)
}

// awaitRun waits for the end of a run and answers with its result. An answer
// whose body is longer than AnswerBytes goes only to the caller that started
// the run.
func (h *handler) awaitRun(w http.ResponseWriter, r *http.Request, run *ticketRun, deadline time.Time, first bool) {
	if first {
		defer close(run.copied)
	}
	var deadlinePassed <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		deadlinePassed = t.C
	}
	select {
	case <-run.done:
	case <-deadlinePassed:
		h.answerUnknown(w, http.StatusGatewayTimeout, reasonDeadline)
		return
	case <-r.Context().Done():
		return
	}
	switch {
	case run.outcome == hdrs.NotRun:
		h.answerNotRun(w, run.status, run.reason)
	case run.outcome == hdrs.Unknown:
		h.answerUnknown(w, run.status, run.reason)
	case run.response == nil:
		writeAnswer(w, run.answer)
	case first:
		h.writeLongAnswer(w, r, run)
	default:
		h.answerUnknown(w, http.StatusConflict, string(ticket.ReasonForgotten))
	}
}

func writeAnswer(w http.ResponseWriter, a *ticket.Answer) {
	writeHeader(w, a.Status, a.Header)
	w.Write(a.Body)
	writeTrailer(w, a.Trailer)
}

func (h *handler) writeLongAnswer(w http.ResponseWriter, r *http.Request, run *ticketRun) {
	writeAnswer(w, run.answer)
	if err := copyAndFlush(w, run.response.Body); err != nil {
		h.resetStream(r.Context())
	}
	writeTrailer(w, trailer(run.response))
}
