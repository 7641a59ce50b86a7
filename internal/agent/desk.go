package agent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
)

// maxRun bounds a run that goes on after its caller left.
const maxRun = 5 * time.Minute

// desk guards the ticket book with one mutex and lets repetitions wait for a run.
type desk struct {
	limits ticket.Limits

	mu      sync.Mutex
	book    *ticket.Book
	running map[ticket.Serial]*run
}

// run is a ticket's only run. Its other fields are valid once done is closed.
type run struct {
	serial ticket.Serial
	done   chan struct{}
	// outcome is empty if there is an answer.
	outcome, reason string
	status          int
	answer          *ticket.Answer
	// rest has the part of a long answer that is not in answer.Body. Only the
	// caller that started the run may read it, until copied is closed.
	rest   *http.Response
	copied chan struct{}
}

func newDesk(self ident.EndpointID) *desk {
	key := make([]byte, 32)
	rand.Read(key)
	l := ticket.DefaultLimits()
	return &desk{
		limits:  l,
		book:    ticket.NewBook(ticket.NewMint(self, key), l),
		running: map[ticket.Serial]*run{},
	}
}

// begin decides about a ticket and returns the run to start or to wait for.
func (d *desk) begin(text string, request ticket.Hash) (ticket.Decision, *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.book.Begin(time.Now(), text, request)
	switch c.Action {
	case ticket.Run:
		r := &run{serial: c.Serial, done: make(chan struct{}), copied: make(chan struct{})}
		d.running[c.Serial] = r
		return c, r
	case ticket.Wait:
		return c, d.running[c.Serial]
	}
	return c, nil
}

// reject uses up a ticket that was not used yet and whose request is at fault.
// It returns the reason if the request never ran and never will.
func (d *desk) reject(text, reason string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c := d.book.Begin(now, text, ticket.Hash{})
	if c.Action == ticket.Run {
		return reason, d.book.Refuse(now, c.Serial, ticket.Reason(reason))
	}
	return string(c.Reason), c.Action == ticket.NotRun
}

func (d *desk) called(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Call(r.serial)
}

// refuse ends a run before the upstream was called.
func (d *desk) refuse(r *run, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.book.Refuse(time.Now(), r.serial, ticket.Reason(reason)) {
		r.outcome, r.status = hdrs.NotRun, http.StatusServiceUnavailable
	} else {
		r.outcome, r.status = hdrs.Unknown, http.StatusBadGateway
	}
	r.reason = reason
	d.end(r)
}

// lose ends a run whose outcome is unknown.
func (d *desk) lose(r *run, status int, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Lose(r.serial)
	r.outcome, r.status, r.reason = hdrs.Unknown, status, reason
	d.end(r)
}

// finish ends a run with an answer. If rest is not nil, the answer is too long
// to be stored.
func (d *desk) finish(r *run, a *ticket.Answer, rest *http.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.answer, r.rest = a, rest
	if rest != nil {
		d.book.Lose(r.serial)
	} else {
		d.book.Finish(time.Now(), r.serial, a)
	}
	d.end(r)
}

func (d *desk) end(r *run) {
	delete(d.running, r.serial)
	close(r.done)
}

func (d *desk) size() ticket.Size {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Size()
}

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
	h.desk.mu.Lock()
	text, reason := h.desk.book.Issue(time.Now())
	h.desk.mu.Unlock()
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
	d, run := h.desk.begin(text, o.hash())
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
	first, notRun := h.desk.reject(text, reason)
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
			h.desk.refuse(r, string(v))
			return
		}
		defer h.gate.leave()
	}
	o.called = func() { h.desk.called(r) }
	resp, err := h.upstream.call(ctx, o)
	if err != nil {
		h.endFailed(r, err)
		return
	}
	defer resp.Body.Close()
	limit := h.desk.limits.AnswerBytes
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		h.desk.lose(r, http.StatusBadGateway, reasonBrokenOff)
		return
	}
	a := &ticket.Answer{Status: resp.StatusCode, Header: answerHeader(resp.Header), Body: body}
	if len(body) <= limit {
		a.Trailer = trailer(resp)
		h.desk.finish(r, a, nil)
		return
	}
	h.desk.finish(r, a, resp)
	<-r.copied
	io.Copy(io.Discard, resp.Body) // an upstream may stop its work when its answer is not read
}

func (h *handler) endFailed(r *run, err error) {
	var c *callError
	if errors.As(err, &c) && !c.called {
		h.desk.refuse(r, reasonUnreachable)
		return
	}
	h.desk.lose(r, http.StatusBadGateway, reasonFailed)
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
		h.writeLong(w, run)
	default:
		h.unknown(w, http.StatusConflict, string(ticket.ReasonForgotten))
	}
}

func writeAnswer(w http.ResponseWriter, a *ticket.Answer) {
	writeHeader(w, a.Status, a.Header)
	w.Write(a.Body)
	writeTrailer(w, a.Trailer)
}

func (h *handler) writeLong(w http.ResponseWriter, run *run) {
	writeAnswer(w, run.answer)
	if err := copyFlush(w, run.rest.Body); err != nil {
		h.refusals.add("reset", reasonBrokenOff)
		panic(http.ErrAbortHandler)
	}
	writeTrailer(w, trailer(run.rest))
}
