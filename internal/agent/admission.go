package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// slowStartInterval is the time between two increases of the usable slots
// during a slow start.
const slowStartInterval = 100 * time.Millisecond

// admission serializes access to an admit.Gate and blocks requests that wait
// for a slot.
type admission struct {
	mu   sync.Mutex
	gate *admit.Gate
	// limits are the declared limits; during a slow start fewer slots are
	// usable.
	limits admit.Limits
	// started and slowStart define the slow start; a slowStart of 0 disables
	// it.
	started   time.Time
	slowStart time.Duration
	now       func() time.Time
}

func newAdmission(l admit.Limits, slowStart time.Duration) *admission {
	a := &admission{limits: l, slowStart: slowStart, now: time.Now, started: time.Now()}
	a.gate = admit.New(a.effectiveLimits(a.started))
	return a
}

// effectiveLimits returns the limits in force at a time. During the slow start
// the slots grow from 1 to the declared number.
func (a *admission) effectiveLimits(now time.Time) admit.Limits {
	l := a.limits
	if age := now.Sub(a.started); age < a.slowStart {
		l.Slots = min(l.Slots, 1+int(float64(l.Slots-1)*float64(age)/float64(a.slowStart)))
	}
	return l
}

// setLimits replaces the declared limits.
func (a *admission) setLimits(l admit.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	now := a.now()
	a.gate.SetLimits(now, a.effectiveLimits(now))
}

// runSlowStart raises the usable slots until the slow start is over, then waits
// for the context to end.
func (a *admission) runSlowStart(ctx context.Context) error {
	t := time.NewTicker(slowStartInterval)
	defer t.Stop()
	for a.raiseSlots() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

// raiseSlots applies the limits of the current time and reports whether the
// slow start goes on.
func (a *admission) raiseSlots() (more bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.gate.SetLimits(now, a.effectiveLimits(now))
	return now.Sub(a.started) < a.slowStart
}

// acquireSlot waits for a slot. After admit.Run the caller must call
// releaseSlot. If the context ends first, it returns admit.Deadline.
func (a *admission) acquireSlot(ctx context.Context, deadline time.Time) admit.Verdict {
	a.mu.Lock()
	v, w := a.gate.Arrive(a.now(), deadline)
	a.mu.Unlock()
	if v != admit.Wait {
		return v
	}
	var deadlinePassed <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(a.now()))
		defer t.Stop()
		deadlinePassed = t.C
	}
	select {
	case <-w.Done():
	case <-deadlinePassed:
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Cancel(w)
	if w.State() == admit.Started {
		return admit.Run
	}
	return admit.Deadline
}

// releaseSlot frees the slot of a request.
func (a *admission) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(a.now())
}

// setDraining sets whether the agent is draining; see admit.Gate.SetDraining.
func (a *admission) setDraining(on bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.SetDraining(on)
}

func (a *admission) decide(id []byte, h *encap.Header) admit.Action {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Decide(a.now(), id, h)
}

// flowEvent reports an event of a flow to the gate.
func (a *admission) flowEvent(event func(*admit.Gate, time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	event(a.gate, a.now())
}

func (a *admission) stats() admit.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Stats(a.now())
}

// openFlow counts a new flow. It returns false if the agent is draining or at
// its connection limit.
func (a *admission) openFlow() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	s := a.gate.Stats(now)
	if s.Draining || s.Connections >= a.limits.Connections {
		return false
	}
	a.gate.FlowOpened(now)
	return true
}
