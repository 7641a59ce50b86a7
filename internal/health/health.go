package health

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// ProbeInterval is the mean time between probes of one endpoint.
	ProbeInterval = 250 * time.Millisecond
	// probeTimeout is the time after which an unanswered probe counts as missed.
	// Even a loaded VM answers within a few milliseconds, so the timeout may be as
	// long as the interval.
	probeTimeout = ProbeInterval
	// missesUntilDown is the number of consecutive missed probes after which an
	// endpoint is down. After a broken session, one is enough.
	missesUntilDown = 3
	// evidenceTTL is how long a packet from an endpoint counts as evidence that
	// it is alive.
	evidenceTTL = 500 * time.Millisecond
	// unansweredTimeout is how long new flows may stay unanswered before the
	// balancer probes the endpoint, even if it is not assigned to it.
	unansweredTimeout = 500 * time.Millisecond
	// suspectProbing is how long a balancer that is not assigned to an endpoint
	// probes it after unanswered flows or a broken session.
	suspectProbing = 2 * time.Second
	// MaxTickGap is the time between ticks above which the gap is treated as a
	// pause of the process. After a pause, answers may be waiting unread in the
	// socket buffer, so outstanding probes don't count as missed.
	MaxTickGap = 150 * time.Millisecond
)

// Verdict is the new status of an endpoint in an Event.
type Verdict uint8

// Verdicts about an endpoint.
const (
	// Down means that the endpoint missed its probes.
	Down Verdict = iota + 1
	// Up means that an endpoint that was down or refusing is usable again.
	Up
	// Refusing means that the endpoint answers but takes no new work.
	Refusing
	// Gone means that another instance answered at the endpoint's address.
	Gone
)

// Event is a change of the status of an endpoint as this balancer observes it.
type Event struct {
	Key     view.Key
	Verdict Verdict
}

// Actions lists what the caller has to do after a tick.
type Actions struct {
	// Probe lists the endpoints to probe now. The caller calls ProbeSent
	// for each probe that it has sent.
	Probe  []view.Key
	Events []Event
}

type target struct {
	// assigned is true if this balancer is one of the endpoint's probers.
	assigned bool
	// suspectUntil is the end of the probing that unanswered flows or a broken
	// session caused; evidence that the endpoint is alive ends it at once.
	suspectUntil time.Duration
	// sessionBroken is true after the agent's session ended although the agent
	// had not announced that it is gone, until there is new evidence that the
	// endpoint is alive.
	sessionBroken bool
	// brokenAt is when the session broke; valid if sessionBroken.
	brokenAt time.Duration
	// probePending is true while the probe sent at probeSentAt is outstanding.
	probePending bool
	probeSentAt  time.Duration
	nextProbe    time.Duration
	// misses counts consecutive missed probes.
	misses int
	down   bool
	// refusing is true if, by its last answer, the endpoint takes no new work.
	refusing bool
	// lastHeard is the time of the last packet or probe answer from the
	// endpoint; valid if everHeard.
	lastHeard time.Duration
	everHeard bool
}

// Checker tracks the status of endpoints as one balancer observes it. It is not
// safe for concurrent use.
type Checker struct {
	// jitter returns a random number in [0, 1).
	jitter  func() float64
	targets map[view.Key]*target
	// active holds the targets that this balancer probes or has to check, so that
	// a tick visits only these. With 440 balancers that is about one endpoint in 200.
	active   map[view.Key]*target
	lastTick time.Duration
	// pauses counts gaps between ticks that were longer than MaxTickGap.
	pauses uint64
}

// New returns a Checker without targets. The jitter function returns random
// numbers in [0, 1).
func New(jitter func() float64) *Checker {
	return &Checker{jitter: jitter, targets: map[view.Key]*target{}, active: map[view.Key]*target{}}
}

// SetTargets replaces the set of endpoints. The values of assigned tell whether
// this balancer is assigned to probe the endpoint.
func (c *Checker) SetTargets(now time.Duration, assigned map[view.Key]bool) {
	for k := range c.targets {
		if _, ok := assigned[k]; !ok {
			c.removeTarget(k)
		}
	}
	for k, a := range assigned {
		t := c.targets[k]
		if t == nil {
			t = &target{nextProbe: now + c.probeDelay(0)}
			c.targets[k] = t
		}
		t.assigned = a
		if a {
			c.active[k] = t
		}
	}
}

func (c *Checker) removeTarget(k view.Key) {
	delete(c.targets, k)
	delete(c.active, k)
}

// probeDelay returns the interval with a jitter of up to an eighth either way.
// For an interval of zero it returns a random time up to ProbeInterval, which
// spreads the first probes.
func (c *Checker) probeDelay(interval time.Duration) time.Duration {
	if interval == 0 {
		return time.Duration(c.jitter() * float64(ProbeInterval))
	}
	return interval*7/8 + time.Duration(c.jitter()*float64(interval)/4)
}

// ProbeSent records that a probe was sent to an endpoint.
func (c *Checker) ProbeSent(now time.Duration, k view.Key) {
	if t := c.targets[k]; t != nil {
		t.probePending, t.probeSentAt = true, now
	}
}

// RecordPacket records that a packet or a probe answer from an endpoint arrived
// at the given time, and returns the resulting events.
func (c *Checker) RecordPacket(at time.Duration, k view.Key) []Event {
	t := c.targets[k]
	if t == nil || t.everHeard && at <= t.lastHeard {
		return nil
	}
	t.lastHeard, t.everHeard = at, true
	if t.probePending && at < t.probeSentAt || t.sessionBroken && at < t.brokenAt {
		return nil
	}
	t.probePending, t.misses, t.sessionBroken, t.suspectUntil = false, 0, false, 0
	if !t.down {
		return nil
	}
	t.down = false
	if t.refusing {
		return []Event{{k, Refusing}}
	}
	return []Event{{k, Up}}
}

// Answer records the answer to a probe of the endpoint asked. The instance is
// the one that answered; refusing means that it takes no new work.
func (c *Checker) Answer(now time.Duration, asked view.Key, instance ident.Instance, refusing bool) []Event {
	t := c.targets[asked]
	if t == nil {
		return nil
	}
	if instance != asked.Instance {
		c.removeTarget(asked)
		return []Event{{asked, Gone}}
	}
	c.active[asked] = t
	changed := t.refusing != refusing
	t.refusing = refusing
	es := c.RecordPacket(now, asked)
	if len(es) > 0 || !changed {
		return es
	}
	if refusing {
		return []Event{{asked, Refusing}}
	}
	return []Event{{asked, Up}}
}

// SessionBroken records that an agent's session ended although the agent had
// not announced that it is gone.
func (c *Checker) SessionBroken(now time.Duration, k view.Key) {
	if t := c.targets[k]; t != nil {
		t.sessionBroken, t.brokenAt = true, now
		t.suspectUntil = now + suspectProbing
		t.nextProbe = min(t.nextProbe, now)
		c.active[k] = t
	}
}

// FlowsUnanswered records that new flows to an endpoint have had no answer since
// the given time.
func (c *Checker) FlowsUnanswered(now, since time.Duration, k view.Key) {
	t := c.targets[k]
	if t == nil || now-since < unansweredTimeout || t.everHeard && t.lastHeard > since {
		return
	}
	if now >= t.suspectUntil {
		t.nextProbe = min(t.nextProbe, now)
	}
	t.suspectUntil = now + suspectProbing
	c.active[k] = t
}

// Tick returns the probes that are due and the events caused by missed ones.
// The caller must call it more often than every MaxTickGap, and must pass
// received answers to Answer before.
func (c *Checker) Tick(now time.Duration) Actions {
	if now-c.lastTick > MaxTickGap {
		c.resetAfterPause(now)
	}
	c.lastTick = now
	var a Actions
	for k, t := range c.active {
		if !t.probePending && !t.shouldProbe(now) {
			delete(c.active, k)
			continue
		}
		if t.probePending && now-t.probeSentAt >= probeTimeout {
			t.probePending = false
			t.misses++
			if !t.down && t.misses >= t.requiredMisses() {
				t.down = true
				a.Events = append(a.Events, Event{k, Down})
			}
		}
		if t.shouldProbe(now) && !t.probePending && now >= t.nextProbe {
			t.nextProbe = now + c.probeDelay(ProbeInterval)
			a.Probe = append(a.Probe, k)
		}
	}
	return a
}

// resetAfterPause discards outstanding and missed probes, which say nothing
// about an endpoint after a pause of this process.
func (c *Checker) resetAfterPause(now time.Duration) {
	c.pauses++
	for _, t := range c.targets {
		t.probePending, t.misses = false, 0
		t.nextProbe = min(t.nextProbe, now+c.probeDelay(0))
	}
}

// requiredMisses returns the number of missed probes after which the endpoint
// is down; after a broken session, one is enough.
func (t *target) requiredMisses() int {
	if t.sessionBroken {
		return 1
	}
	return missesUntilDown
}

// shouldProbe reports whether this balancer probes the endpoint now. It keeps
// probing an endpoint that it found down or refusing until that changes, even
// if it is not assigned.
func (t *target) shouldProbe(now time.Duration) bool {
	return t.assigned || t.down || t.refusing || now < t.suspectUntil
}
