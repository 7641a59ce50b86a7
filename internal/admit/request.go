package admit

import (
	"container/list"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// Verdict is the decision on a request.
type Verdict string

// Verdicts on requests. All but Run and Wait are refusals, used as reasons in
// responses, metrics and logs.
const (
	Run       Verdict = "run"
	Wait      Verdict = "wait"
	QueueFull Verdict = hdrs.QueueFull
	Draining  Verdict = "draining"
	Deadline  Verdict = "deadline"
)

// State is the state of a Waiter.
type State uint8

// States of a Waiter. It leaves Waiting exactly once.
const (
	Waiting State = iota
	Started
	Cancelled
	Expired
)

// Waiter is a request in the queue.
type Waiter struct {
	state    State
	deadline time.Time
	element  *list.Element
	done     chan struct{}
}

// Done is closed when the waiter leaves the queue.
func (w *Waiter) Done() <-chan struct{} { return w.done }

// State returns the state. It does not change once Done is closed; before that
// the caller must hold the lock that guards the gate.
func (w *Waiter) State() State { return w.state }

func (g *Gate) endWait(w *Waiter, s State) {
	g.queue.Remove(w.element)
	w.state = s
	close(w.done)
}

// Arrive decides on a new request. With Run the request occupies a slot until
// Finish; with Wait it is in the queue until the returned waiter ends. A zero
// deadline means none. A draining gate still admits requests of open
// connections.
func (g *Gate) Arrive(now, deadline time.Time) (Verdict, *Waiter) {
	if deadlinePassed(now, deadline) {
		return Deadline, nil
	}
	g.decayLoad(now)
	g.recent.requests++
	if g.running < g.limits.Slots {
		g.running++
		return Run, nil
	}
	if g.queue.Len() >= g.limits.Queue {
		g.expireQueue(now)
	}
	if g.queue.Len() >= g.limits.Queue {
		return QueueFull, nil
	}
	w := &Waiter{deadline: deadline, done: make(chan struct{})}
	w.element = g.queue.PushBack(w)
	return Wait, w
}

// Finish frees a slot and returns the waiter that it started in its place, or
// nil.
func (g *Gate) Finish(now time.Time) *Waiter {
	g.decayLoad(now)
	g.running--
	return g.startNext(now)
}

// Cancel removes a waiter from the queue. It does nothing if the waiter has
// ended: a caller that finds it Started owns a slot and must call Finish.
func (g *Gate) Cancel(w *Waiter) {
	if w.state == Waiting {
		g.endWait(w, Cancelled)
	}
}

// startNext starts the longest-waiting request that has not expired, if a slot
// is free.
func (g *Gate) startNext(now time.Time) *Waiter {
	for g.running < g.limits.Slots && g.queue.Len() > 0 {
		w := g.queue.Front().Value.(*Waiter)
		if deadlinePassed(now, w.deadline) {
			g.endWait(w, Expired)
			continue
		}
		g.running++
		g.endWait(w, Started)
		return w
	}
	return nil
}

func (g *Gate) expireQueue(now time.Time) {
	for e := g.queue.Front(); e != nil; {
		w := e.Value.(*Waiter)
		e = e.Next()
		if deadlinePassed(now, w.deadline) {
			g.endWait(w, Expired)
		}
	}
}

func deadlinePassed(now, deadline time.Time) bool {
	return !deadline.IsZero() && !deadline.After(now)
}
