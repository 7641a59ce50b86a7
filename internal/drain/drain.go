// Package drain decides when a process that was told to stop is done. It holds
// no clock, goroutine or signal handler and is not safe for concurrent use.
package drain

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Action is what the process does next.
type Action uint8

// Actions.
const (
	// None means to go on.
	None Action = iota
	// Leave means to announce the state draining and to take no new work.
	Leave
	// Finish means that all work has ended: announce the state gone and exit.
	Finish
	// Cut means to announce the state gone, close what is open and exit.
	Cut
)

// Limits are the times of a drain.
type Limits struct {
	// Minimum is the least time of a drain, in which late updates of others
	// still lead new work here and it is handed on.
	Minimum time.Duration
	// Quiet is the time without work after which the drain ends.
	Quiet time.Duration
	// Limit is the time after which the drain is cut; 0 means never.
	Limit time.Duration
}

// Machine is the drain state of one process.
type Machine struct {
	limits Limits
	state  view.State
	began  time.Time
	// worked is when the process last had work; valid in state Draining.
	worked time.Time
}

// New returns a machine in state Serving.
func New(l Limits) *Machine { return &Machine{limits: l, state: view.Serving} }

// State returns the state.
func (m *Machine) State() view.State { return m.state }

// Signal handles a signal to stop: the first begins the drain, the next cuts it.
func (m *Machine) Signal(now time.Time) Action {
	switch m.state {
	case view.Serving:
		m.state, m.began, m.worked = view.Draining, now, now
		return Leave
	case view.Draining:
		m.state = view.Gone
		return Cut
	}
	return None
}

// Check handles the passing of time; busy says whether there is work.
func (m *Machine) Check(now time.Time, busy bool) Action {
	if m.state != view.Draining {
		return None
	}
	if busy {
		m.worked = now
	}
	switch {
	case m.limits.Limit > 0 && now.Sub(m.began) >= m.limits.Limit:
		m.state = view.Gone
		return Cut
	case now.Sub(m.worked) >= m.limits.Quiet && now.Sub(m.began) >= m.limits.Minimum:
		m.state = view.Gone
		return Finish
	}
	return None
}
