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

// nextWalk returns the agents that are asked for a flow after others that do not
// hold it: those of the first service of the route that has some left. All agents
// of a walk serve its service, since one of another service takes the flow for
// foreign. There is no next walk if it is not known which agents were asked.
func (c *Core) nextWalk(k flow.Key, r *rules.Route, asked []netip.AddrPort) walk {
	if len(asked) == 0 {
		return walk{}
	}
	for _, s := range r.Shares {
		service := frame.IDOf(s.Service)
		if as := c.unasked(k, service, asked); len(as) > 0 {
			return walk{as[:min(len(as), frame.MaxCandidates)], service}
		}
	}
	return walk{}
}

// unasked returns agents of a service that were not asked, the likeliest first.
func (c *Core) unasked(k flow.Key, s frame.ServiceID, asked []netip.AddrPort) []netip.AddrPort {
	g := c.members.group(s).all
	var as []netip.AddrPort
	for _, id := range c.ids[:g.Order(k.Hash(), route.MaxOrder, c.ids[:])] {
		if !slices.Contains(asked, id.Addr) {
			as = append(as, id.Addr)
		}
	}
	if len(as) == 0 && g.Len() > route.MaxOrder {
		return c.members.unasked(s, asked)
	}
	return as
}

// oneWalk reports whether one walk visits all agents that may hold a flow of a route.
func (c *Core) oneWalk(r *rules.Route) bool {
	return len(r.Shares) == 1 && c.members.group(frame.IDOf(r.Shares[0].Service)).all.Len() <= route.MaxOrder
}
