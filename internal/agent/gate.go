package agent

import (
	"context"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// slowStartStep is how often the usable slots are raised during a slow start.
const slowStartStep = 100 * time.Millisecond

// admission guards the gate with one mutex and lets requests wait for it.
type admission struct {
	mu   sync.Mutex
	gate *admit.Gate
	// limits are the declared ones; during a slow start fewer slots are usable.
	limits admit.Limits
	// started and slowStart define the slow start; it is off when slowStart is 0.
	started   time.Time
	slowStart time.Duration
	now       func() time.Time
}

func newAdmission(l admit.Limits, slowStart time.Duration) *admission {
	a := &admission{limits: l, slowStart: slowStart, now: time.Now, started: time.Now()}
	a.gate = admit.New(a.usable(a.started))
	return a
}

// usable returns the limits in force at a time: the slots grow from 1 to the
// limit during the slow start.
func (a *admission) usable(now time.Time) admit.Limits {
	l := a.limits
	if age := now.Sub(a.started); age < a.slowStart {
		l.Slots = min(l.Slots, 1+int(float64(l.Slots-1)*float64(age)/float64(a.slowStart)))
	}
	return l
}

// setLimits puts declared limits in force.
func (a *admission) setLimits(l admit.Limits) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limits = l
	now := a.now()
	a.gate.SetLimits(now, a.usable(now))
}

// warm raises the usable slots until the slow start is over.
func (a *admission) warm(ctx context.Context) error {
	t := time.NewTicker(slowStartStep)
	defer t.Stop()
	for a.step() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	<-ctx.Done()
	return ctx.Err()
}

func (a *admission) step() (more bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.now()
	a.gate.SetLimits(now, a.usable(now))
	return now.Sub(a.started) < a.slowStart
}

// enter waits for a slot. After admit.Run the caller must call leave. When the
// context ends first the verdict is admit.Deadline.
func (a *admission) enter(ctx context.Context, deadline time.Time) admit.Verdict {
	a.mu.Lock()
	v, w := a.gate.Arrive(a.now(), deadline)
	a.mu.Unlock()
	if v != admit.Wait {
		return v
	}
	var late <-chan time.Time
	if !deadline.IsZero() {
		t := time.NewTimer(deadline.Sub(a.now()))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-w.Done():
	case <-late:
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

// leave frees the slot of a request.
func (a *admission) leave() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Finish(a.now())
}

// setDraining says whether the agent hands on every new flow.
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

// flow reports an event of a flow to the gate.
func (a *admission) flow(event func(*admit.Gate, time.Time)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	event(a.gate, a.now())
}

func (a *admission) stats() admit.Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Stats(a.now())
}

// openFlow counts a new flow unless the agent takes none.
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
