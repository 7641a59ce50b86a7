package store

import (
	"encoding/json"
	"net/http"
	"path"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// Faults says how the stand-in misbehaves.
type Faults struct {
	// Outage makes every call fail without an answer, waiting watches included.
	Outage bool `json:"outage"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// AnswerDelayMillis delays the answer to each call after it took effect, in milliseconds.
	AnswerDelayMillis int `json:"answerDelayMillis"`
	// LoseAnswers is the number of writes whose answers are lost after they take effect.
	LoseAnswers int `json:"loseAnswers"`
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case f.Outage && !s.faults.Outage:
		close(s.outage)
	case !f.Outage && s.faults.Outage:
		s.outage = make(chan struct{})
	}
	s.faults = f
}

// Counts returns the number of calls by kind of call.
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		c[k] = n
	}
	return c
}

// WatchCalls returns the number of watch calls for one kind of objects.
func (s *Store) WatchCalls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches[kind]
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, s.Counts())
		return
	}
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) count(r *http.Request) {
	kind := "write"
	if r.Method == http.MethodGet {
		kind = "read"
	}
	if r.URL.Query().Has("watch") {
		kind = "watch"
	}
	s.mu.Lock()
	s.counts[kind]++
	if kind == "watch" {
		s.watches[path.Base(r.URL.Path)]++
	}
	s.mu.Unlock()
}

// inject delays the call as set and returns false when it must fail.
func (s *Store) inject(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	wait(r, f.DelayMillis)
	return !f.Outage
}

// holdAnswer delays the answer to a call as set when the call arrived.
func (s *Store) holdAnswer(r *http.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	millis := s.faults.AnswerDelayMillis
	return func() { wait(r, millis) }
}

func wait(r *http.Request, millis int) {
	if millis == 0 {
		return
	}
	select {
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// loseAnswer reports whether the answer to the current write is lost; the
// caller holds the mutex.
func (s *Store) loseAnswer() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// lose ends the call without an answer; the caller holds the mutex.
func (s *Store) lose() {
	if s.AfterLost != nil {
		s.mu.Unlock()
		s.AfterLost()
		s.mu.Lock()
	}
	panic(http.ErrAbortHandler)
}

// Len returns the number of objects of a kind.
func (s *Store) Len(k plat.Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects[k])
}
