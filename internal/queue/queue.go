// Package queue decides in which order waiting opening packets are passed to a busy
// upstream, and which of them are rejected. It handles overload after a restart or
// during a burst, when more callers wait than the upstream can serve in time. First
// come, first served would then make every request late.
package queue

import (
	"cmp"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// Item holds a waiting opening packet and the timing of its request.
type Item struct {
	Key flow.Key
	// Began is when the request began and Attempt when its present attempt began,
	// by the same clock as now in the methods of Queue.
	Began, Attempt time.Duration
	// Objective and Deadline are the latency objective and the timeout of the
	// request, measured from Began; zero if unknown.
	Objective, Deadline time.Duration
	// Priority is the priority of the request; 0 is the highest.
	Priority uint8
	// Patient is set if the request may wait beyond its objective until the caller ends
	// the attempt, because its deadline leaves time for another one.
	Patient bool
	// Packet is the encoded opening packet.
	Packet []byte
	// Expired is the reason why the packet has expired; empty if it has not.
	Expired Reason
	// queued is when the packet was added to the queue.
	queued time.Duration
	// late is set once the request can no longer meet its objective.
	late bool
}

const (
	// attemptTimeout is the time without an answer after which a caller ends an
	// attempt.
	attemptTimeout = 1400 * time.Millisecond
	// maxWaitShare is the fraction of the objective after which a waiting attempt is
	// rejected, because it can no longer meet the objective. Without a rejection the
	// caller silently gives up after a third of the timeout and retries from another
	// port, where its request looks like a new one. A retry after a reset keeps the
	// age of its request.
	maxWaitShare = 0.75
	// workMargin is the multiple of the mean work time that is reserved for a request
	// to meet its objective. Work times vary by half of their mean.
	workMargin = 1.5
	// overloadWindow is the time for which the queue counts as overloaded after a packet
	// has missed its objective.
	overloadWindow = 500 * time.Millisecond
)

// ServiceTimes holds the present mean times of the upstream.
type ServiceTimes struct {
	// Work is the mean time from a request to its answer. Handshake is the mean time
	// from the opening of a flow to its first request.
	Work, Handshake time.Duration
}

// LeadTime returns how long before the end of its objective a request has to be passed
// to the upstream.
func (s ServiceTimes) LeadTime() time.Duration {
	return time.Duration(workMargin*float64(s.Work)) + 2*s.Handshake
}

// minTime returns the minimum time that a request is expected to take.
func (s ServiceTimes) minTime() time.Duration { return s.Work/2 + s.Handshake }

// Queue holds the packets that wait for one upstream, oldest first.
//
// While all packets can meet their objective, the oldest is served first. Once one has
// missed it, more callers wait than can be served in time, and the newest is served
// first. It still meets its objective, whereas oldest first would pass every request
// to the upstream slightly too late.
type Queue struct {
	items []*Item
	limit int
	// lastMissed is when a packet last missed its objective; valid if hasMissed.
	lastMissed time.Duration
	hasMissed  bool
	// ByObjective serves the packets first whose objective ends first, in overload, too.
	// It is set if only packets are added that will meet their objective in this order,
	// or may wait beyond it.
	ByObjective bool
}

// New returns an empty queue that holds up to limit packets.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of packets.
func (q *Queue) Len() int { return len(q.items) }

// CountInTime returns the number of packets that can still meet their objective. With
// equal priorities and without overload, a new packet that can meet its own waits
// behind those only.
func (q *Queue) CountInTime(now time.Duration, s ServiceTimes) int {
	q.markLate(now, s)
	n := 0
	for _, i := range q.items {
		if !i.late {
			n++
		}
	}
	return n
}

// CountAhead returns the number of packets that can still meet their objective and are
// served before a new one of the given priority and end of its objective, with ByObjective.
func (q *Queue) CountAhead(now time.Duration, s ServiceTimes, priority uint8, end time.Duration) int {
	q.markLate(now, s)
	n := 0
	for _, i := range q.items {
		if !i.late && (i.Priority < priority || i.Priority == priority && i.end() <= end) {
			n++
		}
	}
	return n
}

// Put adds a packet. If the queue is full, it removes and returns the packet that
// would be served last.
func (q *Queue) Put(now time.Duration, i *Item, s ServiceTimes) (evicted *Item) {
	i.queued = now
	q.items = append(q.items, i)
	if len(q.items) <= q.limit {
		return nil
	}
	return q.remove(q.last(now, s))
}

// Reason is the reason why a packet expired in the queue.
type Reason string

// Reasons why packets expire.
const (
	// Objective means that the attempt has waited for maxWaitShare of its objective.
	Objective Reason = "objective"
	// Deadline means that the request cannot meet its deadline, or cannot be answered
	// before the caller ends the attempt.
	Deadline Reason = "deadline"
)

// expiry returns when the packet expires, and the reason.
func (i *Item) expiry() (time.Duration, Reason) {
	expiry := i.Attempt + attemptTimeout
	if i.Deadline > 0 {
		expiry = min(expiry, i.Began+i.Deadline)
	}
	if wait := time.Duration(maxWaitShare * float64(i.Objective)); wait > 0 && !i.Patient && i.queued+wait < expiry {
		return i.queued + wait, Objective
	}
	return expiry, Deadline
}

// LastsUntil reports whether a packet that is added to the queue now can still be served
// in time at a later time.
func (i *Item) LastsUntil(now, at time.Duration, s ServiceTimes) bool {
	added := *i
	added.queued = now
	expiry, _ := added.expiry()
	return at+s.minTime() <= expiry
}

// Next removes and returns the packet to serve next, or nil if none is waiting or if
// the upstream may not take that packet now.
func (q *Queue) Next(now time.Duration, s ServiceTimes, mayTake func(*Item) bool) *Item {
	if len(q.items) == 0 {
		return nil
	}
	q.markLate(now, s)
	first := q.first(now)
	if !mayTake(q.items[first]) {
		return nil
	}
	return q.remove(first)
}

// first returns the index of the packet to serve next.
func (q *Queue) first(now time.Duration) int {
	best := 0
	for n := range q.items {
		if q.before(now, n, best) {
			best = n
		}
	}
	return best
}

// urgentPriority is the lowest priority that counts as urgent. Operators use the
// urgent half of the scale for requests with side effects.
const urgentPriority = 1

// Urgent reports whether requests of a priority are served before normal ones.
func Urgent(priority uint8) bool { return priority <= urgentPriority }

// last returns the index of the packet that would be served last.
func (q *Queue) last(now time.Duration, s ServiceTimes) int {
	q.markLate(now, s)
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

// markLate marks packets that can no longer meet their objective as late.
func (q *Queue) markLate(now time.Duration, s ServiceTimes) {
	for _, i := range q.items {
		if !i.late && !i.canMeetObjective(now, s) {
			i.late = true
			q.lastMissed, q.hasMissed = now, true
		}
	}
}

// Overloaded reports whether a packet has missed its objective recently.
func (q *Queue) Overloaded(now time.Duration) bool {
	return q.hasMissed && now-q.lastMissed < overloadWindow
}

// before reports whether packet a is served before packet b. Packets that can meet
// their objective come first, then those of a higher priority, then the older ones, or
// the newer ones in overload. Late packets are always served oldest first.
func (q *Queue) before(now time.Duration, a, b int) bool {
	x, y := q.items[a], q.items[b]
	if x.late != y.late {
		return !x.late
	}
	if x.Priority != y.Priority {
		return x.Priority < y.Priority
	}
	if !x.late && q.ByObjective && x.end() != y.end() {
		return x.end() < y.end()
	}
	if !x.late && !q.ByObjective && q.Overloaded(now) {
		return a > b
	}
	return a < b
}

// end returns when the objective of the request ends; its deadline if it has none.
func (i *Item) end() time.Duration { return i.Began + cmp.Or(i.Objective, i.Deadline) }

// canMeetObjective reports whether the request can meet its objective if its packet is
// passed to the upstream now.
func (i *Item) canMeetObjective(now time.Duration, s ServiceTimes) bool {
	return i.Objective == 0 || now+s.LeadTime() <= i.Began+i.Objective
}

// Expired removes and returns the packets whose requests can no longer be served in
// time, so that they can be rejected at once.
func (q *Queue) Expired(now time.Duration, s ServiceTimes) []*Item {
	var expired []*Item
	kept := q.items[:0]
	for _, i := range q.items {
		if expiry, reason := i.expiry(); now+s.minTime() > expiry {
			i.Expired = reason
			expired = append(expired, i)
		} else {
			kept = append(kept, i)
		}
	}
	q.items = kept
	return expired
}

// Clear removes and returns all packets.
func (q *Queue) Clear() []*Item {
	all := q.items
	q.items = nil
	return all
}
