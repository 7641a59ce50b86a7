package front

import (
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// againDelay is after what time a lookup that ended without a certain answer
	// is done again: agents that have just started hear of their upstream within
	// some ten milliseconds.
	againDelay = 60 * time.Millisecond
	// maxAgain is how often that is done for one packet; the caller repeats it
	// after 200 ms at the earliest.
	maxAgain = 3
	// maxWaiting bounds the packets that wait for it.
	maxWaiting = 512
)

// unresolved is a packet of a flow that may be lost.
type unresolved struct {
	key    flow.Key
	packet []byte
	// at is when the flow is looked for again, tries how often it was.
	at    time.Duration
	tries int
}

// unresolvedPackets holds one packet for each flow, in the order of their times.
type unresolvedPackets struct {
	queue []*unresolved
	byKey map[flow.Key]*unresolved
}

// add keeps a packet unless one of its flow waits or has been tried enough.
func (u *unresolvedPackets) add(now time.Duration, k flow.Key, packet []byte) {
	o := u.byKey[k]
	switch {
	case o == nil && len(u.byKey) >= maxWaiting:
		return
	case o == nil:
		o = &unresolved{key: k, packet: slices.Clone(packet)}
		u.byKey[k] = o
	case o.tries >= maxAgain || slices.Contains(u.queue, o):
		return
	}
	o.at = now + againDelay
	u.queue = append(u.queue, o)
}

// next returns the time until a packet is due.
func (u *unresolvedPackets) next(now time.Duration) time.Duration {
	if len(u.queue) == 0 {
		return tickInterval
	}
	return max(0, u.queue[0].at-now)
}

// drop forgets a flow that was found or reset.
func (u *unresolvedPackets) drop(k flow.Key) {
	if o := u.byKey[k]; o != nil {
		delete(u.byKey, k)
		u.queue = slices.DeleteFunc(u.queue, func(q *unresolved) bool { return q == o })
	}
}

// lookAgain looks for the flows whose packets are due.
func (c *Core) lookAgain(now time.Duration) {
	u := &c.unresolved
	for len(u.queue) > 0 && u.queue[0].at <= now {
		o := u.queue[0]
		u.queue = u.queue[1:]
		if o.tries++; o.tries >= maxAgain {
			delete(u.byKey, o.key)
		}
		if p, ok := c.codec.Decode(o.packet); ok {
			c.carry(now, o.key, &p, o.packet)
		}
	}
}
