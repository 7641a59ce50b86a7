package front

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// lookupTimeout is after what time without an answer the agents that were
	// asked for a flow are suspected: a walk along 38 agents of three places
	// takes up to 50 ms.
	lookupTimeout = 80 * time.Millisecond
	// maxLookups bounds the flows that are looked for at one time.
	maxLookups = 1024
)

// lookup is a flow that agents were asked for.
type lookup struct {
	key    flow.Key
	agents []netip.AddrPort
	// deadline is when the agents should have answered.
	deadline time.Duration
	done     bool
}

// lookups holds what is looked for in the order of the deadlines.
type lookups struct {
	byKey map[flow.Key]*lookup
	queue []*lookup
}

// begin notes that agents were asked for a flow. The first question counts.
func (l *lookups) begin(now time.Duration, k flow.Key, agents ...netip.AddrPort) {
	if l.byKey[k] != nil || len(l.byKey) >= maxLookups {
		return
	}
	o := &lookup{key: k, agents: agents, deadline: now + lookupTimeout}
	l.byKey[k] = o
	l.queue = append(l.queue, o)
}

// end notes that an agent has answered.
func (l *lookups) end(k flow.Key) {
	if o := l.byKey[k]; o != nil {
		o.done = true
		delete(l.byKey, k)
	}
}

// next returns the time until the first deadline.
func (l *lookups) next(now time.Duration) time.Duration {
	for len(l.queue) > 0 && l.queue[0].done {
		l.queue = l.queue[1:]
	}
	if len(l.queue) == 0 {
		l.queue = nil
		return tickInterval
	}
	return max(0, l.queue[0].deadline-now)
}

// checkLookups pings the agents of flows that nobody has answered for.
func (c *Core) checkLookups(now time.Duration) {
	for c.lookups.next(now) == 0 {
		o := c.lookups.queue[0]
		c.lookups.end(o.key)
		// An agent that does not answer has not passed the packet on.
		c.trials.refund(o.key)
		for _, a := range o.agents {
			c.members.suspect(now, a, c)
		}
	}
}
