// Package store is an in-memory implementation of the platform's object API for
// tests, demos and local runs. It serves the calls of package plat and injects
// faults: outages, delays, and lost responses to writes that took effect.
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
	// maxValueBytes is the greatest size of the value that a put may write.
	maxValueBytes = 1 << 20
	// maxHistory is the number of changes kept for watches.
	maxHistory = 100000
)

// change is a write or removal of an object.
type change struct {
	kind plat.Kind
	obj  plat.Object
}

// Store holds objects in memory and serves the object API. It is safe for concurrent
// use.
type Store struct {
	mu      sync.Mutex
	version plat.Version
	objects map[plat.Kind]map[string]plat.Object
	history []change
	// dropped is the version of the newest change that history no longer holds.
	dropped plat.Version
	// changed is closed and replaced by each write.
	changed chan struct{}
	faults  Faults
	// outage is closed while an outage lasts and replaced when it ends.
	outage chan struct{}
	// counts holds the number of calls by kind of call.
	counts map[string]int
	// watches holds the number of watch calls by kind of objects.
	watches map[string]int

	// AfterLost, if set, is called after a write whose response is to be lost took
	// effect and before its connection is aborted. The mutex is not held during the
	// call. AfterLost must be set before the first call of the API.
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

// ServeHTTP serves the object API. At /faults it returns the counts of calls for GET
// and otherwise sets the faults.
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
	if !s.injectFaults(r) {
		panic(http.ErrAbortHandler)
	}
	defer s.responseDelay(r)()
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
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(b) {
		http.Error(w, "value is too large or not JSON", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkConditions(w, r, k, name) {
		return
	}
	s.version++
	o := plat.Object{Name: name, Version: s.version, Value: b}
	if s.objects[k] == nil {
		s.objects[k] = map[string]plat.Object{}
	}
	s.objects[k][name] = o
	s.record(change{k, o})
	if s.takeLostResponse() {
		s.abortCall()
	}
	w.Header().Set("ETag", etag(o.Version))
	writeJSON(w, plat.Object{Name: name, Version: o.Version})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request, k plat.Kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.checkConditions(w, r, k, name) {
		return
	}
	s.version++
	delete(s.objects[k], name)
	s.record(change{k, plat.Object{Name: name, Version: s.version, Deleted: true}})
	if s.takeLostResponse() {
		s.abortCall()
	}
	w.WriteHeader(http.StatusNoContent)
}

// checkConditions reports whether a write matches its conditions, and otherwise writes
// the error response. The caller holds the mutex.
func (s *Store) checkConditions(w http.ResponseWriter, r *http.Request, k plat.Kind, name string) bool {
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

// record appends a change to the history and wakes the watches. The caller holds the
// mutex.
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
		l, gone, changed := s.changesSince(k, plat.Version(since))
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

// changesSince returns the last change after version v of each object of a kind, and a
// channel that is closed by the next write. The second result is true if the changes
// after v are not all kept.
func (s *Store) changesSince(k plat.Kind, v plat.Version) (plat.List, bool, <-chan struct{}) {
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
