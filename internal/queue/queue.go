// Package queue decides the order in which opening packets get to a busy
// upstream, and which of them it rejects. It answers the load that follows a
// restart or a burst, when more callers wait than the upstream serves in time:
// first come, first served would then make all of them late.
package queue

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// Item is an opening packet that waits.
type Item struct {
	Key flow.Key
	// Began is when the request began, Attempt when its present attempt did, by
	// the clock of now.
	Began, Attempt time.Duration
	// Objective and Deadline are the latency objective and the timeout of the
	// request, counted from Began; zero if unknown.
	Objective, Deadline time.Duration
	// Priority is the urgency of the request; 0 is the highest.
	Priority uint8
	// Packet is the packet itself.
	Packet []byte
	// Expired is why the packet has expired; empty if it has not.
	Expired Reason
	// queued is when the packet came to the queue.
	queued time.Duration
	// late is set once the request can no longer meet its objective.
	late bool
}

const (
	// attemptTime is after what time without an answer a caller ends an attempt.
	attemptTime = 1400 * time.Millisecond
	// patience is the part of the objective after which a waiting attempt is
	// rejected. It cannot meet the objective any more. Callers that wait on leave
	// without a word after a third of the timeout and come back on another port,
	// where nothing tells their request from a new one; an attempt that follows a
	// reset inherits the age of its request.
	patience = 0.75
	// spread is how much longer than the mean a request is expected to take when
	// its objective is at stake: work times vary by half of their mean.
	spread = 1.5
	// overloadTime is for how long after a packet missed its objective the queue
	// counts as overloaded.
	overloadTime = 500 * time.Millisecond
)

// Pace is how fast the upstream serves at present.
type Pace struct {
	// Work is the mean time of a request, Handshake the time from the opening of
	// a flow to its request.
	Work, Handshake time.Duration
}

// need is how long before its objective a request must get to the upstream.
func (p Pace) need() time.Duration { return time.Duration(spread*float64(p.Work)) + 2*p.Handshake }

// least is how long a request takes at least.
func (p Pace) least() time.Duration { return p.Work/2 + p.Handshake }

// Queue holds the packets that wait for one upstream, oldest first.
//
// While all of them can meet their objective, the oldest goes first. Once one
// has missed it, more callers wait than can be served in time. The newest goes
// first then: it still meets its objective, while oldest first would bring
// every request to the upstream just too late.
type Queue struct {
	items []*Item
	limit int
	// missed is when a packet last missed its objective; valid if any has.
	missed    time.Duration
	anyMissed bool
}

// New returns an empty queue of up to limit packets.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of packets.
func (q *Queue) Len() int { return len(q.items) }

// InTime returns the number of packets that can meet their objective: a new
// packet waits for those only.
func (q *Queue) InTime(now time.Duration, p Pace) int {
	q.note(now, p)
	n := 0
	for _, i := range q.items {
		if !i.late {
			n++
		}
	}
	return n
}

// Put appends a packet. If the queue is full, it returns the packet that has to
// leave: the one that would be served last.
func (q *Queue) Put(now time.Duration, i *Item, p Pace) (evicted *Item) {
	i.queued = now
	q.items = append(q.items, i)
	if len(q.items) <= q.limit {
		return nil
	}
	return q.remove(q.last(now, p))
}

// Reason says why a packet left the queue in vain.
type Reason string

// Reasons for which packets expire.
const (
	// Objective means that the attempt has waited for most of its objective.
	Objective Reason = "objective"
	// Deadline means that the request cannot meet its deadline, or that the caller
	// has ended the attempt.
	Deadline Reason = "deadline"
)

// end returns when the packet is of no use any more, and why.
func (i *Item) end() (time.Duration, Reason) {
	end := i.Attempt + attemptTime
	if i.Deadline > 0 {
		end = min(end, i.Began+i.Deadline)
	}
	if wait := time.Duration(patience * float64(i.Objective)); wait > 0 && i.queued+wait < end {
		return i.queued + wait, Objective
	}
	return end, Deadline
}

// Next removes and returns the packet that the upstream gets next, or nil if
// none waits. With urgent it returns only a packet of an urgent request.
func (q *Queue) Next(now time.Duration, p Pace, urgent bool) *Item {
	if len(q.items) == 0 {
		return nil
	}
	q.note(now, p)
	best := q.first(now)
	if urgent && !Urgent(q.items[best].Priority) {
		return nil
	}
	return q.remove(best)
}

// first returns the index of the packet that goes first.
func (q *Queue) first(now time.Duration) int {
	best := 0
	for n := range q.items {
		if q.before(now, n, best) {
			best = n
		}
	}
	return best
}

// urgentPriority is the last priority that counts as urgent: the half of the
// scale that operators use for requests which change something.
const urgentPriority = 1

// Urgent reports whether requests of a priority go before the usual ones.
func Urgent(priority uint8) bool { return priority <= urgentPriority }

// last returns the index of the packet that would be served last.
func (q *Queue) last(now time.Duration, p Pace) int {
	q.note(now, p)
	last := 0
	for n := range q.items {
		if q.before(now, last, n) {
			last = n
		}
	}
	return last
}

func (q *Queue) remove(n int) *Item {
	i := q.items[n]
	q.items = append(q.items[:n], q.items[n+1:]...)
	return i
}

// note notices packets that have missed their objective while they waited.
func (q *Queue) note(now time.Duration, p Pace) {
	for _, i := range q.items {
		if !i.late && !i.inTime(now, p) {
			i.late = true
			q.missed, q.anyMissed = now, true
		}
	}
}

// Overloaded reports whether packets have missed their objective of late.
func (q *Queue) Overloaded(now time.Duration) bool {
	return q.anyMissed && now-q.missed < overloadTime
}

// before reports whether packet a goes before packet b: those that can meet
// their objective first, then the more urgent ones, then by age. Of those that
// are late already the oldest that can still meet its deadline goes first.
func (q *Queue) before(now time.Duration, a, b int) bool {
	x, y := q.items[a], q.items[b]
	if x.late != y.late {
		return !x.late
	}
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	if !x.late && q.Overloaded(now) {
		return a > b
	}
	return a < b
}

func (i *Item) inTime(now time.Duration, p Pace) bool {
	return i.Objective == 0 || now+p.need() <= i.Began+i.Objective
}

// Expired removes and returns the packets whose requests cannot be served any
// more, so that they are rejected at once.
func (q *Queue) Expired(now time.Duration, p Pace) []*Item {
	var gone []*Item
	kept := q.items[:0]
	for _, i := range q.items {
		if end, why := i.end(); now+p.least() > end {
			i.Expired = why
			gone = append(gone, i)
		} else {
			kept = append(kept, i)
		}
	}
	q.items = kept
	return gone
}

// Clear removes and returns all packets.
func (q *Queue) Clear() []*Item {
	all := q.items
	q.items = nil
	return all
}
