package stub

import (
	"net/http"
	"time"
)

// maxRuns bounds the request ids that are remembered, at about 100 MB.
const maxRuns = 1 << 20

// Counts is what an upstream has counted.
type Counts struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	// Misrouted counts requests whose X-Service names another service.
	Misrouted int `json:"misrouted"`
	// Runs holds how often each X-Request-Id ran.
	Runs map[string]int `json:"runs"`
	// RunsOverflowed counts request ids that were not remembered.
	RunsOverflowed int `json:"runsOverflowed"`
	// Running is the number of short requests in slots, MaxRunning its highest
	// value; MaxWaiting is the most that waited for a slot at once.
	Running    int `json:"running"`
	MaxRunning int `json:"maxRunning"`
	Waiting    int `json:"waiting"`
	MaxWaiting int `json:"maxWaiting"`
	// BusyMillis is the sum of the times that slots were held.
	BusyMillis float64 `json:"busyMillis"`
	// Cancelled counts requests that the caller gave up before their end.
	Cancelled int `json:"cancelled"`
	// Feeds is the number of open feeds.
	Feeds int `json:"feeds"`
	// FailedBefore and FailedAfter count updates that failed as told.
	FailedBefore int `json:"failedBefore"`
	FailedAfter  int `json:"failedAfter"`
}

// Counts returns the counters so far.
func (u *Upstream) Counts() Counts {
	u.mu.Lock()
	defer u.mu.Unlock()
	c := u.counts
	c.Running = u.running
	c.Runs = make(map[string]int, len(u.counts.Runs))
	for k, n := range u.counts.Runs {
		c.Runs[k] = n
	}
	return c
}

func (u *Upstream) count(r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Requests++
	if s := r.Header.Get("X-Service"); s != "" && s != u.Service {
		u.counts.Misrouted++
	}
	if r.URL.Path != "/update" {
		u.countRun(r)
	}
}

// countRun counts a run of the request id; the caller of countRun holds the mutex.
func (u *Upstream) countRun(r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return
	}
	if u.counts.Runs[id] == 0 && len(u.counts.Runs) >= maxRuns {
		u.counts.RunsOverflowed++
		return
	}
	u.counts.Runs[id]++
}

func (u *Upstream) countCancelled(r *http.Request) {
	if r.Context().Err() == nil {
		return
	}
	u.mu.Lock()
	u.counts.Cancelled++
	u.mu.Unlock()
}

func (u *Upstream) addFeed(n int) {
	u.mu.Lock()
	u.counts.Feeds += n
	u.mu.Unlock()
}

// takeSlot waits for a slot. It returns false when the request ended first.
func (u *Upstream) takeSlot(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Waiting++
	defer func() { u.counts.Waiting-- }()
	for u.settings.Slots > 0 && u.running >= u.settings.Slots {
		u.counts.MaxWaiting = max(u.counts.MaxWaiting, u.counts.Waiting)
		free := u.slotFree
		u.mu.Unlock()
		select {
		case <-free:
		case <-r.Context().Done():
		}
		u.mu.Lock()
		if r.Context().Err() != nil {
			return false
		}
	}
	u.running++
	u.counts.MaxRunning = max(u.counts.MaxRunning, u.running)
	u.load.set(time.Now(), u.running)
	return true
}

func (u *Upstream) freeSlot(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.counts.BusyMillis += millis(time.Since(since))
	u.load.set(time.Now(), u.running)
	u.wakeWaiting()
}

// wakeWaiting lets all waiting requests look again; the caller of it holds the mutex.
func (u *Upstream) wakeWaiting() {
	close(u.slotFree)
	u.slotFree = make(chan struct{})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
