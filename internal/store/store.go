// Package store is a stand-in for the platform's object API. It keeps objects
// in memory, serves the calls that plat makes, and injects faults: outage,
// delay, and answers lost after the write took effect.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

const (
	maxValue = 1 << 20
	// maxHistory bounds the changes kept for watches.
	maxHistory = 100000
)

type change struct {
	kind plat.Kind
	obj  plat.Object
}

// Store is the stand-in; it implements http.Handler.
type Store struct {
	mu      sync.Mutex
	version plat.Version
	objects map[plat.Kind]map[string]plat.Object
	history []change
	// dropped is the version of the newest change that history no longer holds.
	dropped plat.Version
	changed chan struct{}
	faults  Faults
	// outage is closed while an outage lasts and replaced when it ends.
	outage chan struct{}
	counts map[string]int
	// watches counts the watch calls by kind of objects.
	watches map[string]int

	// AfterLost, when set, is called after a write took effect and before its
	// answer is lost, without locks. It must be set before the first call.
	AfterLost func()
}

// New returns an empty store.
func New() *Store {
	return &Store{
		objects: map[plat.Kind]map[string]plat.Object{},
		changed: make(chan struct{}),
		outage:  make(chan struct{}),
		counts:  map[string]int{},
		watches: map[string]int{},
	}
}

// ServeHTTP serves the object API, and the fault control at /faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		s.serveFaults(w, r)
		return
	}
	rest, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		http.NotFound(w, r)
		return
	}
	s.count(r)
	if !s.inject(r) {
		panic(http.ErrAbortHandler)
	}
	defer s.holdAnswer(r)()
	kind, name, _ := strings.Cut(rest, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, plat.Kind(kind))
	case r.Method == http.MethodGet && name == "":
		s.list(w, plat.Kind(kind))
	case r.Method == http.MethodGet:
		s.get(w, plat.Kind(kind), name)
	case r.Method == http.MethodPut && name != "":
		s.put(w, r, plat.Kind(kind), name)
	case r.Method == http.MethodDelete && name != "":
		s.remove(w, r, plat.Kind(kind), name)
	default:
		http.Error(w, "unsupported call", http.StatusBadRequest)
	}
}

func (s *Store) get(w http.ResponseWriter, k plat.Kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[k][name]
	s.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", etag(o.Version))
	writeJSON(w, o)
}

func (s *Store) list(w http.ResponseWriter, k plat.Kind) {
	s.mu.Lock()
	l := plat.List{Version: s.version}
	for _, o := range s.objects[k] {
		l.Objects = append(l.Objects, o)
	}
	s.mu.Unlock()
	writeJSON(w, l)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request, k plat.Kind, name string) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil || !json.Valid(b) {
		http.Error(w, "value is too large or not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowed(w, r, k, name) {
		return
	}
	s.version++
	o := plat.Object{Name: name, Version: s.version, Value: b}
	if s.objects[k] == nil {
		s.objects[k] = map[string]plat.Object{}
	}
	s.objects[k][name] = o
	s.record(change{k, o})
	if s.loseAnswer() {
		s.lose()
	}
	w.Header().Set("ETag", etag(o.Version))
	writeJSON(w, plat.Object{Name: name, Version: o.Version})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request, k plat.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.allowed(w, r, k, name) {
		return
	}
	s.version++
	delete(s.objects[k], name)
	s.record(change{k, plat.Object{Name: name, Version: s.version, Deleted: true}})
	if s.loseAnswer() {
		s.lose()
	}
	w.WriteHeader(http.StatusNoContent)
}

// allowed checks the conditions of a write; the caller holds the mutex.
func (s *Store) allowed(w http.ResponseWriter, r *http.Request, k plat.Kind, name string) bool {
	o, exists := s.objects[k][name]
	match, none := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	ok := match == "" && none == "" ||
		none == "*" && !exists ||
		match != "" && exists && match == etag(o.Version)
	if !ok {
		w.Header().Set("ETag", etag(o.Version))
		http.Error(w, "version does not match", http.StatusPreconditionFailed)
	}
	return ok
}

func (s *Store) record(c change) {
	s.history = append(s.history, c)
	if len(s.history) > maxHistory {
		s.dropped = s.history[0].obj.Version
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, k plat.Kind) {
	since, err1 := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMillis"))
	if err1 != nil || err2 != nil {
		http.Error(w, "since and waitMillis must be numbers", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	outage := s.outage
	s.mu.Unlock()
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l, gone, changed := s.since(k, plat.Version(since))
		if gone {
			http.Error(w, "changes are no longer kept", http.StatusGone)
			return
		}
		if len(l.Objects) > 0 {
			writeJSON(w, l)
			return
		}
		select {
		case <-changed:
		case <-outage:
			panic(http.ErrAbortHandler)
		case <-timeout:
			writeJSON(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) since(k plat.Kind, v plat.Version) (plat.List, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := plat.List{Version: s.version}
	if v < s.dropped || v > s.version {
		return l, true, nil
	}
	last := map[string]int{}
	for i := len(s.history) - 1; i >= 0 && s.history[i].obj.Version > v; i-- {
		c := s.history[i]
		if _, seen := last[c.obj.Name]; c.kind == k && !seen {
			last[c.obj.Name] = i
			l.Objects = append(l.Objects, c.obj)
		}
	}
	return l, false, s.changed
}

func etag(v plat.Version) string { return strconv.Quote(strconv.FormatUint(uint64(v), 10)) }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
