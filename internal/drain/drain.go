// Package drain decides when a process that was told to stop may exit. It uses
// no clock, goroutine or signal handler and is not safe for concurrent use.
package drain

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Action is what the process is to do next.
type Action uint8

// Actions.
const (
	// None means to continue.
	None Action = iota
	// Begin means to announce the state draining and to accept no new work.
	Begin
	// Finish means that all work has ended: announce the state gone and exit.
	Finish
	// Abort means to abort the drain: announce the state gone, close what is open
	// and exit.
	Abort
)

// Limits are the durations of a drain.
type Limits struct {
	// Minimum is the shortest duration of a drain. During it peers with an
	// outdated view still send new work to this process, which forwards it.
	Minimum time.Duration
	// Quiet is the time without work after which the drain ends.
	Quiet time.Duration
	// Limit is the time after which the drain is aborted; 0 means never.
	Limit time.Duration
}

// Machine is the state machine of one process's drain.
type Machine struct {
	limits  Limits
	state   view.State
	started time.Time
	// lastBusy is the last time at which the process had work; valid in the
	// state Draining.
	lastBusy time.Time
}

// New returns a machine in the state Serving.
func New(l Limits) *Machine { return &Machine{limits: l, state: view.Serving} }

// State returns the current state.
func (m *Machine) State() view.State { return m.state }

// Signal handles a stop signal: the first begins the drain, the next aborts it.
func (m *Machine) Signal(now time.Time) Action {
	switch m.state {
	case view.Serving:
		m.state, m.started, m.lastBusy = view.Draining, now, now
		return Begin
	case view.Draining:
		m.state = view.Gone
		return Abort
	}
	return None
}

// Check is called regularly to end the drain when it is due; busy says whether
// the process has work.
func (m *Machine) Check(now time.Time, busy bool) Action {
	if m.state != view.Draining {
		return None
	}
	if busy {
		m.lastBusy = now
	}
	switch {
	case m.limits.Limit > 0 && now.Sub(m.started) >= m.limits.Limit:
		m.state = view.Gone
		return Abort
	case now.Sub(m.lastBusy) >= m.limits.Quiet && now.Sub(m.started) >= m.limits.Minimum:
		m.state = view.Gone
		return Finish
	}
	return None
}
