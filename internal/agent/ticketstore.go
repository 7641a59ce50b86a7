package agent

import (
	"crypto/rand"
	"net/http"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
)

// maxRun bounds a run that goes on after its caller left.
const maxRun = 5 * time.Minute

// ticketStore guards the tickets with one mutex and lets repetitions wait for a run.
type ticketStore struct {
	limits ticket.Limits

	mu      sync.Mutex
	store   *ticket.Store
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

func newTicketStore(self ident.EndpointID) *ticketStore {
	key := make([]byte, 32)
	rand.Read(key)
	l := ticket.DefaultLimits()
	return &ticketStore{
		limits:  l,
		store:   ticket.NewStore(ticket.NewIssuer(self, key), l),
		running: map[ticket.Serial]*run{},
	}
}

// begin decides about a ticket and returns the run to start or to wait for.
func (d *ticketStore) begin(text string, request ticket.Hash) (ticket.Decision, *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.store.Begin(time.Now(), text, request)
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
func (d *ticketStore) reject(text, reason string) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	c := d.store.Begin(now, text, ticket.Hash{})
	if c.Action == ticket.Run {
		return reason, d.store.Refuse(now, c.Serial, ticket.Reason(reason))
	}
	return string(c.Reason), c.Action == ticket.NotRun
}

func (d *ticketStore) called(r *run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Call(r.serial)
}

// refuse ends a run before the upstream was called.
func (d *ticketStore) refuse(r *run, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.store.Refuse(time.Now(), r.serial, ticket.Reason(reason)) {
		r.outcome, r.status = hdrs.NotRun, http.StatusServiceUnavailable
	} else {
		r.outcome, r.status = hdrs.Unknown, http.StatusBadGateway
	}
	r.reason = reason
	d.end(r)
}

// lose ends a run whose outcome is unknown.
func (d *ticketStore) lose(r *run, status int, reason string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.store.Lose(r.serial)
	r.outcome, r.status, r.reason = hdrs.Unknown, status, reason
	d.end(r)
}

// finish ends a run with an answer. If rest is not nil, the answer is too long
// to be stored.
func (d *ticketStore) finish(r *run, a *ticket.Answer, rest *http.Response) {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.answer, r.rest = a, rest
	if rest != nil {
		d.store.Lose(r.serial)
	} else {
		d.store.Finish(time.Now(), r.serial, a)
	}
	d.end(r)
}

func (d *ticketStore) end(r *run) {
	delete(d.running, r.serial)
	close(r.done)
}

func (d *ticketStore) size() ticket.Size {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.store.Size()
}
