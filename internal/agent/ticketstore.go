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

// maxRunTime bounds a run that continues after its caller left.
const maxRunTime = 5 * time.Minute

// ticketStore serializes access to a ticket.Store and lets repetitions wait for
// a run.
type ticketStore struct {
	limits ticket.Limits

	mu      sync.Mutex
	store   *ticket.Store
	running map[ticket.Serial]*ticketRun
}

// ticketRun is the single run of a ticket. The fields of the result are valid
// once done is closed.
type ticketRun struct {
	serial ticket.Serial
	done   chan struct{}
	// outcome is empty if there is an answer.
	outcome, reason string
	status          int
	answer          *ticket.Answer
	// response holds the part of a long answer that is not in answer.Body. Only
	// the caller that started the run may read it, until copied is closed.
	response *http.Response
	copied   chan struct{}
}

func newTicketStore(self ident.EndpointID) *ticketStore {
	key := make([]byte, 32)
	rand.Read(key)
	l := ticket.DefaultLimits()
	return &ticketStore{
		limits:  l,
		store:   ticket.NewStore(ticket.NewIssuer(self, key), l),
		running: map[ticket.Serial]*ticketRun{},
	}
}

// begin decides on a request with a ticket and returns the run to start or to
// wait for.
func (s *ticketStore) begin(text string, request ticket.Hash) (ticket.Decision, *ticketRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.store.Begin(time.Now(), text, request)
	switch d.Action {
	case ticket.Run:
		r := &ticketRun{serial: d.Serial, done: make(chan struct{}), copied: make(chan struct{})}
		s.running[d.Serial] = r
		return d, r
	case ticket.Wait:
		return d, s.running[d.Serial]
	}
	return d, nil
}

// reject uses up an unused ticket whose request is invalid. It returns the
// reason of the refusal and whether the request never ran and never will.
func (s *ticketStore) reject(text, reason string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	d := s.store.Begin(now, text, ticket.Hash{})
	if d.Action == ticket.Run {
		return reason, s.store.Refuse(now, d.Serial, ticket.Reason(reason))
	}
	return string(d.Reason), d.Action == ticket.NotRun
}

func (s *ticketStore) markCalled(r *ticketRun) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.MarkCalled(r.serial)
}

// endNotRun ends a run that did not reach the upstream. If the upstream was
// called after all, the outcome is unknown.
func (s *ticketStore) endNotRun(r *ticketRun, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.store.Refuse(time.Now(), r.serial, ticket.Reason(reason)) {
		r.outcome, r.status = hdrs.NotRun, http.StatusServiceUnavailable
	} else {
		r.outcome, r.status = hdrs.Unknown, http.StatusBadGateway
	}
	r.reason = reason
	s.end(r)
}

// endUnknown ends a run whose outcome is unknown.
func (s *ticketStore) endUnknown(r *ticketRun, status int, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.store.Forget(r.serial)
	r.outcome, r.status, r.reason = hdrs.Unknown, status, reason
	s.end(r)
}

// endAnswered ends a run with an answer. If response is not nil, the answer is
// too long to be stored.
func (s *ticketStore) endAnswered(r *ticketRun, a *ticket.Answer, response *http.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.answer, r.response = a, response
	if response != nil {
		s.store.Forget(r.serial)
	} else {
		s.store.Finish(time.Now(), r.serial, a)
	}
	s.end(r)
}

func (s *ticketStore) end(r *ticketRun) {
	delete(s.running, r.serial)
	close(r.done)
}

func (s *ticketStore) size() ticket.Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Size()
}
