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
	// Began is when the caller's attempt began, by the clock of now.
	Began time.Duration
	// Objective and Deadline are the latency objective and the timeout of the
	// request, counted from Began; zero if unknown.
	Objective, Deadline time.Duration
	// Priority is the urgency of the request; 0 is the highest.
	Priority uint8
	// Packet is the packet itself.
	Packet []byte
}

const (
	// attemptTime is after what time without an answer a caller ends an attempt.
	attemptTime = 1400 * time.Millisecond
	// spread is how much longer than the mean a request is expected to take when
	// its objective is at stake: work times vary by half of their mean.
	spread = 1.5
)

// Queue holds the packets that wait for one upstream, oldest first.
type Queue struct {
	items []*Item
	limit int
}

// New returns an empty queue of up to limit packets.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of packets.
func (q *Queue) Len() int { return len(q.items) }

// Holds reports whether the packet of a flow waits.
func (q *Queue) Holds(k flow.Key) bool {
	for _, i := range q.items {
		if i.Key == k {
			return true
		}
	}
	return false
}

// Put appends a packet. It reports false if the queue is full, or if the packet
// would wait beyond its deadline: work is the mean time of a request and slots
// is how many are worked on at once.
func (q *Queue) Put(now time.Duration, i *Item, work time.Duration, slots float64) bool {
	if len(q.items) >= q.limit {
		return false
	}
	wait := time.Duration(float64(q.ahead(i)+1) * float64(work) / max(1, slots))
	if now+wait+work > i.end() {
		return false
	}
	q.items = append(q.items, i)
	return true
}

// ahead returns how many packets are at least as urgent.
func (q *Queue) ahead(i *Item) int {
	n := 0
	for _, o := range q.items {
		if o.Priority <= i.Priority {
			n++
		}
	}
	return n
}

// end returns when the packet is of no use any more.
func (i *Item) end() time.Duration {
	end := i.Began + attemptTime
	if i.Deadline > 0 {
		end = min(end, i.Began+i.Deadline)
	}
	return end
}

// Next removes and returns the packet that the upstream gets next: the oldest
// of the most urgent ones that can still meet their objective, or else the
// oldest of the others. It returns nil if none waits.
func (q *Queue) Next(now, work time.Duration) *Item {
	best := -1
	for n, i := range q.items {
		if best < 0 || q.before(now, work, i, q.items[best]) {
			best = n
		}
	}
	if best < 0 {
		return nil
	}
	i := q.items[best]
	q.items = append(q.items[:best], q.items[best+1:]...)
	return i
}

// before reports whether a goes before b, which is older.
func (q *Queue) before(now, work time.Duration, a, b *Item) bool {
	inTime, otherInTime := a.inTime(now, work), b.inTime(now, work)
	if inTime != otherInTime {
		return inTime
	}
	return a.Priority < b.Priority
}

func (i *Item) inTime(now, work time.Duration) bool {
	need := time.Duration(spread * float64(work))
	return i.Objective == 0 || now+need <= i.Began+i.Objective
}

// Expired removes and returns the packets whose requests cannot be served any
// more, so that they are rejected at once.
func (q *Queue) Expired(now, work time.Duration) []*Item {
	var gone []*Item
	kept := q.items[:0]
	for _, i := range q.items {
		if now+work > i.end() {
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
