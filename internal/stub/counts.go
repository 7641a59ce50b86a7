package stub

import (
	"net/http"
	"time"
)

// maxRequestIDs bounds the request ids that are recorded, which take about 100 MB.
const maxRequestIDs = 1 << 20

// Counts holds the counters of an upstream.
type Counts struct {
	Service  string `json:"service"`
	Requests int    `json:"requests"`
	// Misrouted counts requests whose X-Service names another service.
	Misrouted int `json:"misrouted"`
	// Runs holds the number of runs by X-Request-Id.
	Runs map[string]int `json:"runs"`
	// RunsOverflowed counts runs whose request id was not recorded because there
	// were too many.
	RunsOverflowed int `json:"runsOverflowed"`
	// Running and Waiting are the numbers of requests that hold a slot and that
	// wait for one, MaxRunning and MaxWaiting their highest values.
	Running    int `json:"running"`
	MaxRunning int `json:"maxRunning"`
	Waiting    int `json:"waiting"`
	MaxWaiting int `json:"maxWaiting"`
	// BusyMillis is the total time that slots were held.
	BusyMillis float64 `json:"busyMillis"`
	// Cancelled counts requests that the caller cancelled.
	Cancelled int `json:"cancelled"`
	// Feeds is the number of open feeds.
	Feeds int `json:"feeds"`
	// FailedBefore and FailedAfter count updates that failed because of
	// Settings.UpdateFail or the query value fail.
	FailedBefore int `json:"failedBefore"`
	FailedAfter  int `json:"failedAfter"`
}

// Counts returns a copy of the current counters.
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

// countRequest counts a request and its run; serveUpdate counts the runs of updates.
func (u *Upstream) countRequest(r *http.Request) {
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

// countRun counts a run of the request id. The mutex must be held.
func (u *Upstream) countRun(r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	if id == "" {
		return
	}
	if u.counts.Runs[id] == 0 && len(u.counts.Runs) >= maxRequestIDs {
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

// acquireSlot waits for a slot. It returns false if the request ended first.
func (u *Upstream) acquireSlot(r *http.Request) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.counts.Waiting++
	defer func() { u.counts.Waiting-- }()
	for u.settings.Slots > 0 && u.running >= u.settings.Slots {
		u.counts.MaxWaiting = max(u.counts.MaxWaiting, u.counts.Waiting)
		changed := u.slotsChanged
		u.mu.Unlock()
		select {
		case <-changed:
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

// releaseSlot releases a slot that has been held since the given time.
func (u *Upstream) releaseSlot(since time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.counts.BusyMillis += millis(time.Since(since))
	u.load.set(time.Now(), u.running)
	u.notifyWaiters()
}

// notifyWaiters lets all waiting requests check for a slot again. The mutex must be
// held.
func (u *Upstream) notifyWaiters() {
	close(u.slotsChanged)
	u.slotsChanged = make(chan struct{})
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
