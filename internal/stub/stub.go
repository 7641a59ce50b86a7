// Package stub is a stand-in for a user's upstream. It serves feeds, sheets,
// tiles, short requests and updates, counts what it ran, and misbehaves as its
// settings say. Another process reads GET /counts and changes PUT /settings.
package stub

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Upstream is one upstream of a service; it implements http.Handler.
type Upstream struct {
	// Service is the name that requests must carry in X-Service, if they carry one.
	Service string

	started time.Time

	mu       sync.Mutex
	settings Settings
	counts   Counts
	running  int
	// slotFree is closed and replaced when a slot becomes free or the settings change.
	slotFree chan struct{}
	load     history[int]
	healthy  history[bool]
}

// New returns an upstream of a service whose short requests take the given time.
func New(service string, work time.Duration) *Upstream {
	u := &Upstream{
		Service:  service,
		started:  time.Now(),
		slotFree: make(chan struct{}),
		counts:   Counts{Service: service, Runs: map[string]int{}},
	}
	u.SetSettings(Settings{WorkMillis: millis(work)})
	return u
}

// ServeHTTP serves /feeds/NAME, /sheet, /tiles/, /update, /healthz, /load,
// /counts and /settings; any other path is a short request that is echoed.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		u.serveHealth(w)
		return
	case "/load":
		u.serveLoad(w)
		return
	case "/counts":
		json.NewEncoder(w).Encode(u.Counts())
		return
	case "/settings":
		u.serveSettings(w, r)
		return
	}
	u.count(r)
	defer u.countCancelled(r)
	switch {
	case strings.HasPrefix(r.URL.Path, "/feeds/"):
		u.feed(w, r)
	case r.URL.Path == "/sheet":
		u.sheet(w, r)
	case strings.HasPrefix(r.URL.Path, "/tiles/"):
		u.tile(w, r)
	case r.URL.Path == "/update":
		u.update(w, r)
	default:
		u.short(w, r)
	}
}
