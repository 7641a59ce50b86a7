// Package stub is a stand-in for a user's upstream. It serves feeds, sheets,
// tiles and updates, and counts what it ran.
package stub

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Upstream is one upstream of a service; it implements http.Handler.
type Upstream struct {
	// Service is the name that requests must carry in X-Service, if they carry one.
	Service string
	// Work is the time that one short request takes.
	Work time.Duration

	mu        sync.Mutex
	requests  int
	misrouted int
	runs      map[string]int
}

// New returns an upstream of a service.
func New(service string, work time.Duration) *Upstream {
	return &Upstream{Service: service, Work: work, runs: map[string]int{}}
}

// Counts is what an upstream has counted.
type Counts struct {
	Requests  int            `json:"requests"`
	Misrouted int            `json:"misrouted"`
	Runs      map[string]int `json:"runs"`
}

// Counts returns the counters so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := Counts{u.requests, u.misrouted, make(map[string]int, len(u.runs))}
	for k, n := range u.runs {
		c.Runs[k] = n
	}
	return c
}

// ServeHTTP serves /echo, /sheet, /feeds/, /update and /healthz.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		io.WriteString(w, "ok\n")
		return
	}
	u.count(r)
	switch r.URL.Path {
	case "/feeds/prices":
		u.feed(w, r)
	case "/sheet":
		u.sheet(w, r)
	default:
		u.short(w, r)
	}
}

func (u *Upstream) count(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.requests++
	if s := r.Header.Get("X-Service"); s != "" && s != u.Service {
		u.misrouted++
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		u.runs[id]++
	}
}

func (u *Upstream) short(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	select {
	case <-time.After(u.Work):
	case <-r.Context().Done():
		return
	}
	fmt.Fprintf(w, "%s %s %s\n", u.Service, r.URL.Path, body)
}

// sheet answers with "size" octets of a pattern and their hash in a header.
func (u *Upstream) sheet(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.Atoi(r.URL.Query().Get("size"))
	if err != nil || size < 0 || size > 64<<20 {
		http.Error(w, "bad size", http.StatusBadRequest)
		return
	}
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(i * 7)
	}
	sum := sha256.Sum256(b)
	w.Header().Set("X-Sha256", hex.EncodeToString(sum[:]))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Write(b)
}

// feed sends numbered events every "everyMillis" until "count" were sent or
// the caller leaves. It continues after Last-Event-ID.
func (u *Upstream) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	every, _ := strconv.Atoi(q.Get("everyMillis"))
	count, _ := strconv.Atoi(q.Get("count"))
	next, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	t := time.NewTicker(time.Duration(max(every, 1)) * time.Millisecond)
	defer t.Stop()
	for n := next + 1; count == 0 || n <= count; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s price %d\n\n", n, u.Service, n); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}
