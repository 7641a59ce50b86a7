package store

import (
	"encoding/json"
	"net/http"
	"path"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// Faults are the faults that the store injects.
type Faults struct {
	// Outage makes every call fail without a response, including pending watches.
	Outage bool `json:"outage"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delayMillis"`
	// AnswerDelayMillis delays the end of each response after the call took effect, in
	// milliseconds.
	AnswerDelayMillis int `json:"answerDelayMillis"`
	// LoseAnswers is the number of writes that take effect and get no response.
	LoseAnswers int `json:"loseAnswers"`
}

// SetFaults replaces the faults. An outage ends pending watches.
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

// Counts returns the number of calls by kind of call: "read", "write" or "watch".
func (s *Store) Counts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		c[k] = n
	}
	return c
}

// WatchCalls returns the number of watch calls for a kind of objects.
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

// injectFaults delays the call and returns false if it must fail.
func (s *Store) injectFaults(r *http.Request) bool {
	s.mu.Lock()
	f := s.faults
	s.mu.Unlock()
	wait(r, f.DelayMillis)
	return !f.Outage
}

// responseDelay returns a function that delays the response to a call by the
// AnswerDelayMillis in force when the call arrived.
func (s *Store) responseDelay(r *http.Request) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	millis := s.faults.AnswerDelayMillis
	return func() { wait(r, millis) }
}

// wait waits for the given time or until the client closes the connection.
func wait(r *http.Request, millis int) {
	if millis == 0 {
		return
	}
	select {
	case <-time.After(time.Duration(millis) * time.Millisecond):
	case <-r.Context().Done():
	}
}

// takeLostResponse reports whether the response to the current write is to be lost,
// and counts it. The caller holds the mutex.
func (s *Store) takeLostResponse() bool {
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// abortCall ends the call without a response. The caller holds the mutex.
func (s *Store) abortCall() {
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
