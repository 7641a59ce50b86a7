// Package stub implements a fake upstream. It serves feeds, sheets, tiles, short
// requests and updates, counts what it ran, and fails as its settings demand.
// Other processes read its counters by GET /counts and change its settings by PUT
// /settings.
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
	// slotsChanged is closed and replaced when a slot is released or the settings
	// change.
	slotsChanged chan struct{}
	load         history[int]
	healthy      history[bool]
}

// New returns an upstream of a service whose short requests and tiles take the given
// time.
func New(service string, work time.Duration) *Upstream {
	u := &Upstream{
		Service:      service,
		started:      time.Now(),
		slotsChanged: make(chan struct{}),
		counts:       Counts{Service: service, Runs: map[string]int{}},
	}
	u.SetSettings(Settings{WorkMillis: millis(work)})
	return u
}

// ServeHTTP serves /feeds/NAME, /sheet, /tiles/, /update, /healthz, /load,
// /counts and /settings; any other path is a short request, which is echoed.
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
	u.countRequest(r)
	defer u.countCancelled(r)
	switch {
	case strings.HasPrefix(r.URL.Path, "/feeds/"):
		u.serveFeed(w, r)
	case r.URL.Path == "/sheet":
		u.serveSheet(w, r)
	case strings.HasPrefix(r.URL.Path, "/tiles/"):
		u.serveTile(w, r)
	case r.URL.Path == "/update":
		u.serveUpdate(w, r)
	default:
		u.serveShort(w, r)
	}
}
