package health

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// ProbeInterval is the mean time between probes of one endpoint.
	ProbeInterval = 250 * time.Millisecond
	// probeWait is how long a probe may stay unanswered before it is missed. A
	// loaded VM answers within a few milliseconds; the interval is the bound.
	probeWait = ProbeInterval
	// missLimit is the number of consecutive missed probes of a down endpoint.
	missLimit = 3
	// evidenceTime is how long a packet of the endpoint counts as proof of life.
	evidenceTime = 500 * time.Millisecond
	// unansweredLimit is how long new flows may stay unanswered before the
	// balancer probes the endpoint itself.
	unansweredLimit = 500 * time.Millisecond
	// ownProbing is how long a balancer keeps probing after unanswered flows.
	ownProbing = 2 * time.Second
	// MaxTickGap is the longest gap between ticks that counts as running. After
	// a longer one, answers may wait unread in the socket buffer, so nothing
	// that is outstanding counts as missed.
	MaxTickGap = 150 * time.Millisecond
)

// Verdict says what became of an endpoint.
type Verdict uint8

// Verdicts.
const (
	// Down means that the endpoint missed its probes.
	Down Verdict = iota + 1
	// Up means that an endpoint that was down or refusing serves again.
	Up
	// Refusing means that the endpoint answers that it takes no new work.
	Refusing
	// Gone means that another instance answered at the endpoint's address.
	Gone
)

// Event is a change in what the balancer knows about an endpoint.
type Event struct {
	Key     view.Key
	Verdict Verdict
}

// Actions is what the caller has to do after a tick.
type Actions struct {
	// Probe lists the endpoints to probe now; the caller reports each one that
	// it really sent by Sent.
	Probe  []view.Key
	Events []Event
}

type target struct {
	assigned bool
	// ownUntil is the end of the probing that unanswered flows or a broken
	// session caused; a sign of life ends it at once.
	ownUntil time.Duration
	// sessionBroken is true after the agent's session broke without a
	// farewell, until the endpoint gives a sign of life.
	sessionBroken bool
	// brokenAt is when the session broke; valid if sessionBroken.
	brokenAt time.Duration
	// waiting is true while a probe is outstanding that was sent at sentAt.
	waiting bool
	sentAt  time.Duration
	next    time.Duration
	misses  int
	down    bool
	// refusing is true when the last answer said that it takes no new work.
	refusing bool
	// heard is when the endpoint last gave a sign of life; valid if everHeard.
	heard     time.Duration
	everHeard bool
}

// Health holds what one balancer knows by itself about endpoints. It is not
// safe for concurrent use.
type Health struct {
	// jitter returns a random number in [0, 1).
	jitter  func() float64
	targets map[view.Key]*target
	// active holds the targets that a tick has to look at: those that this
	// balancer probes. At the target size that is about one in 200.
	active   map[view.Key]*target
	lastTick time.Duration
	pauses   uint64
}

// New returns an empty Health. The jitter function returns numbers in [0, 1).
func New(jitter func() float64) *Health {
	return &Health{jitter: jitter, targets: map[view.Key]*target{}, active: map[view.Key]*target{}}
}

// SetTargets replaces the endpoints; the value says whether this balancer is
// assigned to probe the endpoint.
func (h *Health) SetTargets(now time.Duration, assigned map[view.Key]bool) {
	for k := range h.targets {
		if _, ok := assigned[k]; !ok {
			h.drop(k)
		}
	}
	for k, a := range assigned {
		t := h.targets[k]
		if t == nil {
			t = &target{next: now + h.spread(0)}
			h.targets[k] = t
		}
		t.assigned = a
		if a {
			h.active[k] = t
		}
	}
}

func (h *Health) drop(k view.Key) {
	delete(h.targets, k)
	delete(h.active, k)
}

// spread returns a wait of ProbeInterval with a quarter of jitter around it.
func (h *Health) spread(from time.Duration) time.Duration {
	if from == 0 {
		return time.Duration(h.jitter() * float64(ProbeInterval))
	}
	return from*7/8 + time.Duration(h.jitter()*float64(from)/4)
}

// Sent reports that a probe was really sent.
func (h *Health) Sent(now time.Duration, k view.Key) {
	if t := h.targets[k]; t != nil {
		t.waiting, t.sentAt = true, now
	}
}

// Heard reports a sign of life: a probe answer or a packet.
func (h *Health) Heard(at time.Duration, k view.Key) []Event {
	t := h.targets[k]
	if t == nil || t.everHeard && at <= t.heard {
		return nil
	}
	t.heard, t.everHeard = at, true
	if t.waiting && at < t.sentAt || t.sessionBroken && at < t.brokenAt {
		return nil
	}
	t.waiting, t.misses, t.sessionBroken, t.ownUntil = false, 0, false, 0
	if !t.down {
		return nil
	}
	t.down = false
	if t.refusing {
		return []Event{{k, Refusing}}
	}
	return []Event{{k, Up}}
}

// Answer reports a probe answer from an address.
func (h *Health) Answer(now time.Duration, asked view.Key, instance ident.Instance, refusing bool) []Event {
	t := h.targets[asked]
	if t == nil {
		return nil
	}
	if instance != asked.Instance {
		h.drop(asked)
		return []Event{{asked, Gone}}
	}
	h.active[asked] = t
	changed := t.refusing != refusing
	t.refusing = refusing
	es := h.Heard(now, asked)
	if len(es) > 0 || !changed {
		return es
	}
	if refusing {
		return []Event{{asked, Refusing}}
	}
	return []Event{{asked, Up}}
}

// SessionBroken reports that the session of an agent broke without a farewell.
func (h *Health) SessionBroken(now time.Duration, k view.Key) {
	if t := h.targets[k]; t != nil {
		t.sessionBroken, t.brokenAt = true, now
		t.ownUntil = now + ownProbing
		t.next = min(t.next, now)
		h.active[k] = t
	}
}

// Unanswered reports since when new flows of an endpoint have had no answer.
func (h *Health) Unanswered(now, since time.Duration, k view.Key) {
	t := h.targets[k]
	if t == nil || now-since < unansweredLimit || t.everHeard && t.heard > since {
		return
	}
	if now >= t.ownUntil {
		t.next = min(t.next, now)
	}
	t.ownUntil = now + ownProbing
	h.active[k] = t
}

// Tick returns the probes that are due and the verdicts of missed ones. The
// caller ticks more often than MaxTickGap and reports waiting answers first.
func (h *Health) Tick(now time.Duration) Actions {
	if now-h.lastTick > MaxTickGap {
		h.resume(now)
	}
	h.lastTick = now
	var a Actions
	for k, t := range h.active {
		if !t.waiting && !t.probed(now) {
			delete(h.active, k)
			continue
		}
		if t.waiting && now-t.sentAt >= probeWait {
			t.waiting = false
			t.misses++
			if !t.down && t.misses >= t.limit() {
				t.down = true
				a.Events = append(a.Events, Event{k, Down})
			}
		}
		if t.probed(now) && !t.waiting && now >= t.next {
			t.next = now + h.spread(ProbeInterval)
			a.Probe = append(a.Probe, k)
		}
	}
	return a
}

// resume discards what a pause of the process made unreliable.
func (h *Health) resume(now time.Duration) {
	h.pauses++
	for _, t := range h.targets {
		t.waiting, t.misses = false, 0
		t.next = min(t.next, now+h.spread(0))
	}
}

func (t *target) limit() int {
	if t.sessionBroken {
		return 1
	}
	return missLimit
}

// probed reports whether this balancer probes the endpoint now. One that it
// holds to be unusable is probed until that changes, whoever is assigned.
func (t *target) probed(now time.Duration) bool {
	return t.assigned || t.down || t.refusing || now < t.ownUntil
}

// Usable decides whether an endpoint takes new flows; marked is what other
// balancers found out about it.
func (h *Health) Usable(now time.Duration, k view.Key, marked view.Condition) bool {
	t := h.targets[k]
	if t == nil {
		return marked == view.Clear
	}
	if t.condition() != view.Clear || marked == view.Refusing {
		return false
	}
	return marked == view.Clear || t.everHeard && now-t.heard < evidenceTime
}

// EvidenceEnd returns until when own evidence of life overrides marks that an
// endpoint is down; it is not after now if there is none.
func (h *Health) EvidenceEnd(k view.Key) time.Duration {
	if t := h.targets[k]; t != nil && t.everHeard {
		return t.heard + evidenceTime
	}
	return 0
}

func (t *target) condition() view.Condition {
	switch {
	case t.down:
		return view.Down
	case t.refusing:
		return view.Refusing
	}
	return view.Clear
}

// Conditions returns the endpoints that this balancer found to be unusable.
func (h *Health) Conditions() map[view.Key]view.Condition {
	cs := map[view.Key]view.Condition{}
	for k, t := range h.targets {
		if c := t.condition(); c != view.Clear {
			cs[k] = c
		}
	}
	return cs
}

// Pauses returns how often the process was paused.
func (h *Health) Pauses() uint64 { return h.pauses }
