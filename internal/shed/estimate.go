// Package shed decides which requests are rejected at their first packet while more
// callers come than the upstreams can serve in time. An agent estimates when it would
// serve a new request, and refuses one that it can't serve in time (Load). A balancer
// keeps what agents report and rejects, without asking, what exceeds the part that they
// take, in equal shares for the client accounts (Gate).
package shed

import (
	"cmp"
	"math"
	"time"
)

const (
	// attemptTimeout is the time without an answer after which a caller ends an attempt.
	attemptTimeout = 1400 * time.Millisecond
	// waitShare is the share of the time until a request has to be passed to the upstream
	// that it may be expected to wait for. In overload the queue stays at this limit, and
	// half of the requests wait longer than expected.
	waitShare = 0.75
	// pressingShare is the share of its time that a request of an account over its fair
	// share may wait for. The rest is left to the other accounts.
	pressingShare = 0.25
	// againShare does the same for a request that was rejected a moment ago, so that it
	// gets the same answer unless the load has changed. Otherwise requests would be
	// served at their third attempt in place of others at their first.
	againShare = 0.5
	// maxLeadShare is the largest share of the objective that is reserved for the request
	// itself. Some slow requests lengthen the mean for a while.
	maxLeadShare = 0.5
	// minRateShare is the least share of the rate of leaving that is left for requests
	// that are not urgent in the estimate.
	minRateShare = 0.125
)

// Load is the load of an upstream that has no room, as seen by a new request.
type Load struct {
	// Ahead is the number of waiting requests that are served before the new one, and
	// Waiting the number of all that can still be in time.
	Ahead, Waiting int
	// Busy is the number of requests at the upstream or on their way there, Spent the
	// mean time that each one is. Left is the measured rate of answers per second. The
	// rate of leaving is Busy/Spent, or Left if that is higher: after a cut link or a
	// slow request Spent is too long for a while, and Left is too low after a calm.
	Busy  int
	Spent time.Duration
	Left  float64
	// Lead is how long before the end of its objective a request has to be passed to
	// the upstream.
	Lead time.Duration
	// Arriving is the rate of new requests per second, Before the part of it that is
	// served before the new one.
	Arriving, Before float64
}

// Request is what is known of a request at one of its attempts.
type Request struct {
	// Objective and Deadline are its latency objective and its deadline, and Age the
	// time since it began. An Objective or Deadline of zero is unknown.
	Objective, Deadline, Age time.Duration
	// Pressing is set if its client account sends more than its share.
	Pressing bool
	// Again is set if it has been rejected a moment ago.
	Again bool
}

// Patient reports whether the request may wait in vain for the whole of an attempt and
// still has time for another one. Waiting then costs its caller nothing.
func (r Request) Patient() bool { return r.Deadline > 0 && r.Deadline-r.Age >= 2*attemptTimeout }

// leaving returns the rate at which requests leave, per second.
func (l Load) leaving() float64 {
	return max(l.Left, float64(max(l.Busy, 1))/max(l.Spent, time.Millisecond).Seconds())
}

// Time returns the time in which a new request is expected to be answered.
func (l Load) Time() time.Duration {
	rate := l.leaving()
	rate = max(rate-l.Before, minRateShare*rate)
	return seconds(float64(l.Ahead+1)/rate) + l.Lead
}

// drained returns when the requests that can be in time will all have been served, so
// that late ones have their turn; ok is false if more come than leave.
func (l Load) drained() (d time.Duration, ok bool) {
	rate := l.leaving() - l.Arriving
	if rate <= 0 {
		return 0, false
	}
	return seconds(float64(l.Waiting+1) / rate), true
}

// seconds converts a number of seconds, limited to an hour.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// Refuses reports whether the request is refused at once: it would miss its objective,
// and it would not be served late either, because the requests that can be in time
// leave no slot to it before its deadline.
func (l Load) Refuses(r Request) bool {
	objective := cmp.Or(r.Objective, r.Deadline)
	if objective == 0 || r.Patient() {
		return false
	}
	share := waitShare
	if r.Pressing {
		share *= pressingShare
	}
	if r.Again {
		share *= againShare
	}
	lead := min(l.Lead, time.Duration(maxLeadShare*float64(objective)))
	if float64(l.Time()-l.Lead) <= share*float64(objective-r.Age-lead) {
		return false
	}
	d, ok := l.drained()
	return !ok || r.Deadline > 0 && r.Age+d+l.Lead > r.Deadline
}

// meterTime is the time that a Meter averages over.
const meterTime = 500 * time.Millisecond

// Meter measures a rate of events.
type Meter struct {
	rate float64
	at   time.Duration
}

// Add records an event.
func (m *Meter) Add(now time.Duration) {
	m.rate = m.Rate(now) + 1/meterTime.Seconds()
	m.at = now
}

// Rate returns the events per second.
func (m *Meter) Rate(now time.Duration) float64 {
	return m.rate * math.Exp(-float64(now-m.at)/float64(meterTime))
}
