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

// issue answers a request for a ticket.
func (h *handler) issue(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		h.refuse(w, http.StatusMethodNotAllowed, reasonMethod)
		return
	}
	h.tickets.mu.Lock()
	text, reason := h.tickets.store.Issue(time.Now())
	h.tickets.mu.Unlock()
	if reason != ticket.ReasonNone {
		h.refuse(w, http.StatusServiceUnavailable, string(reason))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusCreated)
	json.NewEncoder(w).Encode(ticketAnswer{text})
}

// serveTicket runs a request with a ticket, or answers its repetition. The
// body is read first, so that a caller that leaves meanwhile uses up no ticket.
// The reason is that of a request at fault, or empty.
func (h *handler) serveTicket(w http.ResponseWriter, r *http.Request, deadline time.Time, reason string) {
	text := r.Header.Get(hdrs.Ticket)
	if reason == "" && r.URL.Path == hdrs.TicketPath {
		reason = reasonTarget
	}
	if reason != "" {
		h.rejectTicket(w, text, http.StatusBadRequest, reason)
		return
	}
	o := h.outgoing(r, deadline, true)
	if o == nil {
		h.rejectTicket(w, text, http.StatusRequestEntityTooLarge, reasonBody)
		return
	}
	d, run := h.tickets.begin(text, o.hash())
	switch d.Action {
	case ticket.Run:
		h.active.Add(1)
		go h.run(context.WithoutCancel(r.Context()), r.URL.Path, run, o, deadline)
		h.await(w, r, run, deadline, true)
	case ticket.Wait:
		h.await(w, r, run, deadline, false)
	case ticket.Replay:
		writeAnswer(w, d.Answer)
	case ticket.NotRun:
		h.refuse(w, http.StatusServiceUnavailable, string(d.Reason))
	default:
		h.unknown(w, http.StatusConflict, string(d.Reason))
	}
}

// rejectTicket answers a request at fault. Only a ticket that has not begun may
// be answered not-run: the fault concerns this repetition and not the first request.
func (h *handler) rejectTicket(w http.ResponseWriter, text string, status int, reason string) {
	first, notRun := h.tickets.reject(text, reason)
	switch {
	case !notRun:
		h.unknown(w, status, reason)
	case first == reason:
		h.refuse(w, status, reason)
	default:
		h.refuse(w, http.StatusServiceUnavailable, first)
	}
}

// run runs a request with a ticket. It goes on when the caller's stream ends.
func (h *handler) run(ctx context.Context, path string, r *run, o *outgoing, deadline time.Time) {
	defer h.active.Add(-1)
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	if !h.streams(path) {
		if v := h.enter(ctx, deadline); v != admit.Run {
			h.tickets.refuse(r, string(v))
			return
		}
		defer h.gate.leave()
	}
	o.called = func() { h.tickets.called(r) }
	resp, err := h.upstream.call(ctx, o)
	if err != nil {
		h.endFailed(r, err)
		return
	}
	defer resp.Body.Close()
	limit := h.tickets.limits.AnswerBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		h.tickets.lose(r, http.StatusBadGateway, reasonBrokenOff)
		return
	}
	a := &ticket.Answer{Status: resp.StatusCode, Header: answerHeader(resp.Header), Body: body}
	if len(body) <= limit {
		a.Trailer = trailer(resp)
		h.tickets.finish(r, a, nil)
		return
	}
	h.tickets.finish(r, a, resp)
	<-r.copied
	io.Copy(io.Discard, resp.Body) // an upstream may stop its work when its answer is not read
}

func (h *handler) endFailed(r *run, err error) {
	var c *callError
	if errors.As(err, &c) && !c.called {
		h.tickets.refuse(r, reasonUnreachable)
		return
	}
	h.tickets.lose(r, http.StatusBadGateway, reasonFailed)
}

// await answers with the end of a run. Only the caller that started the run
// gets an answer that is too long to be stored.
func (h *handler) await(w http.ResponseWriter, r *http.Request, run *run, deadline time.Time, first bool) {
	if first {
		defer close(run.copied)
	}
	var late <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-run.done:
	case <-late:
		h.unknown(w, http.StatusGatewayTimeout, reasonLate)
		return
	case <-r.Context().Done():
		return
	}
	switch {
	case run.outcome == hdrs.NotRun:
		h.refuse(w, run.status, run.reason)
	case run.outcome == hdrs.Unknown:
		h.unknown(w, run.status, run.reason)
	case run.rest == nil:
		writeAnswer(w, run.answer)
	case first:
		h.writeLong(w, r, run)
	default:
		h.unknown(w, http.StatusConflict, string(ticket.ReasonForgotten))
	}
}

func writeAnswer(w http.ResponseWriter, a *ticket.Answer) {
	writeHeader(w, a.Status, a.Header)
	w.Write(a.Body)
	writeTrailer(w, a.Trailer)
}

func (h *handler) writeLong(w http.ResponseWriter, r *http.Request, run *run) {
	writeAnswer(w, run.answer)
	if err := copyFlush(w, run.rest.Body); err != nil {
		h.breakOff(r.Context())
	}
	writeTrailer(w, trailer(run.rest))
}
