// Package ramp limits how many requests a cold upstream gets. After its start, and after
// a time without requests, an upstream is slow for a warm-up time and bears a few
// requests per second only, summed over all balancers. A load of a thousand requests per
// second that returns to a place, or that follows a release, would otherwise go to
// upstreams that look idle.
package ramp

import "time"

// Limit is what an upstream of a service bears while it is cold.
type Limit struct {
	// PerSecond is the number of requests per second; 0 if it is not limited.
	PerSecond float64
	// Warmup is the time for which an upstream stays cold.
	Warmup time.Duration
}

const (
	// burst is the number of requests that may come at once. Any second gets at most
	// the rate and the burst; the users allow 1.5 times the rate and 5.
	burst = 2
	// rampTime is the time after the warm-up in which the limit rises from the cold
	// rate to the full one. Placement averages the load of an upstream over as long.
	rampTime = time.Second
	// keepTime is how long a limit holds after it was last announced. Balancers of an
	// earlier version announce none, and all use a new configuration within 5 s.
	keepTime = 5 * time.Second
	// rounding absorbs the rounding of times to nanoseconds.
	rounding = 1e-6
)

// State says which limit applies to an upstream.
type State uint8

const (
	// Unlimited means that the upstream is warm or that its service has no limit.
	Unlimited State = iota
	// Cold means that the limit of the service applies.
	Cold
	// Ramping means that the warm-up has ended and the limit rises.
	Ramping
)

func (s State) String() string { return [...]string{"unlimited", "cold", "ramping"}[s] }

// Limiter decides when one upstream may get its next request. It is used where all
// requests of the upstream pass.
type Limiter struct {
	limit       Limit
	announcedAt time.Duration
	// full is the number of requests per second that the upstream bears when it is warm.
	full float64
	// reportInterval is the time between two reports of the upstream.
	reportInterval time.Duration
	// warmupEnd is the end of the latest warm-up that was reported; valid if reported.
	warmupEnd time.Duration
	reported  bool
	// expected is set from expectedAt until the next report: the upstream may have
	// become cold without a report of that.
	expected   bool
	expectedAt time.Duration
	// allowance is the number of requests that the upstream may get at filledAt; at
	// most burst.
	allowance float64
	filledAt  time.Duration
}

// New returns the limiter of an upstream that may just have started.
func New(now, reportInterval time.Duration) Limiter {
	return Limiter{reportInterval: reportInterval, expected: true, expectedAt: now, allowance: burst, filledAt: now}
}

// Announce sets the limit of the service, and the number of requests per second that the
// upstream bears when it is warm. A Limit without a rate leaves the known one in force
// until it was last announced keepTime ago.
func (l *Limiter) Announce(now time.Duration, m Limit, full float64) {
	if m.PerSecond > 0 {
		l.fill(now)
		l.limit, l.announcedAt, l.full = m, now, full
	}
}

// Report records the remaining warm-up time that the upstream has reported; 0 if it is
// warm.
func (l *Limiter) Report(now, warmup time.Duration) {
	l.fill(now)
	l.expected = false
	if warmup > 0 || l.reported && now < l.warmupEnd {
		l.warmupEnd, l.reported = now+max(0, warmup), true
	}
}

// Expect makes the upstream count as cold until its next report, but no longer than a
// warm-up and a report may take.
func (l *Limiter) Expect(now time.Duration) {
	l.fill(now)
	l.expected, l.expectedAt = true, now
}

// Limit returns the latest limit that was announced.
func (l *Limiter) Limit() Limit { return l.limit }

// State returns the present state of the upstream.
func (l *Limiter) State(now time.Duration) State {
	switch {
	case l.limit.PerSecond <= 0 || now-l.announcedAt >= keepTime:
		return Unlimited
	case l.reported && now < l.warmupEnd:
		return Cold
	case l.expected && now-l.expectedAt < l.limit.Warmup+l.reportInterval:
		return Cold
	case l.reported && now-l.warmupEnd < rampTime:
		return Ramping
	}
	return Unlimited
}

// Wait returns the time until the upstream may get a request before which ahead others
// wait.
func (l *Limiter) Wait(now time.Duration, ahead int) time.Duration {
	if l.State(now) == Unlimited {
		return 0
	}
	l.fill(now)
	missing := float64(ahead+1) - l.allowance
	if missing <= rounding {
		return 0
	}
	return time.Duration(missing/l.rate(now)*float64(time.Second)) + 1
}

// Take records that the upstream gets a request. While it is unlimited, requests use up
// the allowance with which a warm-up would begin.
func (l *Limiter) Take(now time.Duration) {
	l.fill(now)
	l.allowance = max(0, l.allowance-1)
}

// rate returns the present limit in requests per second.
func (l *Limiter) rate(now time.Duration) float64 {
	r := l.limit.PerSecond
	if l.State(now) == Ramping {
		r += max(0, l.full-r) * float64(now-l.warmupEnd) / float64(rampTime)
	}
	return r
}

func (l *Limiter) fill(now time.Duration) {
	l.allowance = min(burst, l.allowance+l.rate(now)*(now-l.filledAt).Seconds())
	l.filledAt = now
}
