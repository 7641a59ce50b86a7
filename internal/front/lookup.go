package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// lookupTimeout is after what time without an answer the agents that were
	// asked for a flow are suspected: a walk along 38 agents of three places
	// takes up to 50 ms.
	lookupTimeout = 80 * time.Millisecond
	// lookupHop is the time that each agent of a longer walk may take.
	lookupHop = 2 * time.Millisecond
	// maxLookups bounds the flows that are looked for at one time.
	maxLookups = 1024
)

// lookup is a flow that agents were asked for.
type lookup struct {
	key flow.Key
	// earlier are the agents that were asked before and do not hold the flow,
	// agents those that are asked now.
	earlier, agents []netip.AddrPort
	// deadline is when the agents should have answered.
	deadline time.Duration
	done     bool
}

// lookups holds what is looked for in the order of the deadlines.
type lookups struct {
	byKey map[flow.Key]*lookup
	queue []*lookup
}

// begin notes that agents are asked for a flow after others that do not hold it.
// The first question counts.
func (l *lookups) begin(now time.Duration, k flow.Key, earlier, agents []netip.AddrPort) {
	if l.byKey[k] != nil || len(l.byKey) >= maxLookups {
		return
	}
	timeout := max(lookupTimeout, time.Duration(len(agents))*lookupHop)
	o := &lookup{key: k, earlier: earlier, agents: agents, deadline: now + timeout}
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

// missed notes that none of the agents that were asked holds the flow. It returns
// all that were asked, or nil if the question was not noted, its deadline has
// passed, or the answer belongs to another packet of the flow.
func (l *lookups) missed(k flow.Key, candidates []frame.Candidate) []netip.AddrPort {
	o := l.byKey[k]
	if o == nil || !slices.EqualFunc(o.agents, candidates, func(a netip.AddrPort, c frame.Candidate) bool { return a == c.Addr }) {
		return nil
	}
	l.end(k)
	return append(slices.Clip(o.earlier), o.agents...)
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
		for _, a := range o.agents {
			c.members.suspect(now, a, c)
		}
	}
}

// unasked returns the agents of a service that answer and were not asked.
func (m *members) unasked(s frame.ServiceID, asked []netip.AddrPort) []netip.AddrPort {
	known := make(map[netip.AddrPort]bool, len(asked))
	for _, a := range asked {
		known[a] = true
	}
	var as []netip.AddrPort
	for a, b := range m.byAddr {
		if b.downAt == 0 && !known[a] && frame.IDOf(b.entry.Service) == s {
			as = append(as, a)
		}
	}
	return as
}

// walk is the agents that are asked for a flow next, and their service.
type walk struct {
	agents  []netip.AddrPort
	service frame.ServiceID
}

// firstWalk returns the agents that may hold a flow, in the order of its hash,
// without the one that has just been asked.
func (c *Core) firstWalk(k flow.Key, r *rules.Route, asked netip.AddrPort) (w walk) {
	for _, s := range r.Shares {
		w.service = frame.IDOf(s.Service)
		n := c.members.group(w.service).all.Order(k.Hash(), route.MaxOrder, c.ids[:])
		for _, id := range c.ids[:n] {
			if id.Addr != asked {
				w.agents = append(w.agents, id.Addr)
			}
		}
	}
	w.agents = w.agents[:min(len(w.agents), frame.MaxCandidates)]
	return w
}

// nextWalk returns the agents of large services that the walks before did not
// visit, or none if it is not known which those visited.
func (c *Core) nextWalk(r *rules.Route, asked []netip.AddrPort) (w walk) {
	if len(asked) == 0 {
		return w
	}
	for _, s := range r.Shares {
		service := frame.IDOf(s.Service)
		if c.members.group(service).all.Len() > route.MaxOrder {
			w.service = service
			w.agents = append(w.agents, c.members.unasked(service, asked)...)
		}
	}
	w.agents = w.agents[:min(len(w.agents), frame.MaxCandidates)]
	return w
}
