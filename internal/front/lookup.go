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
	// lookupTimeout is the time without an answer after which the agents that were
	// asked for a flow are pinged. A walk along 38 agents in three places takes up
	// to 50 ms.
	lookupTimeout = 80 * time.Millisecond
	// lookupTimePerAgent is the time allowed per agent of a longer walk.
	lookupTimePerAgent = 2 * time.Millisecond
	// maxLookups limits the flows that are looked up at the same time.
	maxLookups = 1024
)

// lookup is the search for the agent that holds a flow.
type lookup struct {
	key flow.Key
	// earlier are the agents that answered that they do not hold the flow, asked
	// those whose answer is awaited.
	earlier, asked []netip.AddrPort
	// deadline is when the agents that have not answered are pinged.
	deadline time.Duration
	done     bool
}

// lookups holds the lookups in progress, in the order of their start. Finished
// lookups stay in queue until they reach its head.
type lookups struct {
	byKey map[flow.Key]*lookup
	queue []*lookup
}

// begin records that agents are asked for a flow after the earlier ones, which
// do not hold it. A lookup of the flow that is already in progress is kept.
func (l *lookups) begin(now time.Duration, k flow.Key, earlier, agents []netip.AddrPort) {
	if l.byKey[k] != nil || len(l.byKey) >= maxLookups {
		return
	}
	timeout := max(lookupTimeout, time.Duration(len(agents))*lookupTimePerAgent)
	o := &lookup{key: k, earlier: earlier, asked: agents, deadline: now + timeout}
	l.byKey[k] = o
	l.queue = append(l.queue, o)
}

// end removes the lookup of a flow that an agent has answered for.
func (l *lookups) end(k flow.Key) {
	if o := l.byKey[k]; o != nil {
		o.done = true
		delete(l.byKey, k)
	}
}

// endMissed ends the lookup of a flow that none of the candidates holds. It
// returns all agents asked so far, or nil if the lookup was not recorded, its
// deadline has passed, or the answer belongs to another packet of the flow.
func (l *lookups) endMissed(k flow.Key, candidates []frame.Candidate) []netip.AddrPort {
	o := l.byKey[k]
	if o == nil || !slices.EqualFunc(o.asked, candidates, func(a netip.AddrPort, c frame.Candidate) bool { return a == c.Addr }) {
		return nil
	}
	l.end(k)
	return append(slices.Clip(o.earlier), o.asked...)
}

// untilDeadline returns the time until the first deadline; tickInterval if there
// is none.
func (l *lookups) untilDeadline(now time.Duration) time.Duration {
	for len(l.queue) > 0 && l.queue[0].done {
		l.queue = l.queue[1:]
	}
	if len(l.queue) == 0 {
		l.queue = nil
		return tickInterval
	}
	return max(0, l.queue[0].deadline-now)
}

// checkLookups pings the agents of lookups whose deadline has passed.
func (c *Core) checkLookups(now time.Duration) {
	for c.lookups.untilDeadline(now) == 0 {
		o := c.lookups.queue[0]
		c.lookups.end(o.key)
		for _, a := range o.asked {
			c.agents.probe(now, a, c)
		}
	}
}

// unasked returns the agents of a service that are up and have not been asked.
func (t *agentTable) unasked(s frame.ServiceID, asked []netip.AddrPort) []netip.AddrPort {
	known := make(map[netip.AddrPort]bool, len(asked))
	for _, a := range asked {
		known[a] = true
	}
	var as []netip.AddrPort
	for a, st := range t.byAddr {
		if st.downAt == 0 && !known[a] && frame.ServiceIDOf(st.entry.Service) == s {
			as = append(as, a)
		}
	}
	return as
}

// walk lists the agents that a packet visits in order until one of them holds
// its flow. All of them serve the given service.
type walk struct {
	agents  []netip.AddrPort
	service frame.ServiceID
}

// nextWalk returns the agents to ask for a flow after those that do not hold it:
// the remaining agents of the first service of the route that has any left. A walk
// never mixes services, because an agent treats flows of another service as
// foreign. The walk is empty if it is not known which agents were asked.
func (c *Core) nextWalk(k flow.Key, r *rules.Route, asked []netip.AddrPort) walk {
	if len(asked) == 0 {
		return walk{}
	}
	for _, s := range r.Shares {
		service := frame.ServiceIDOf(s.Service)
		if as := c.rankedUnasked(k, service, asked); len(as) > 0 {
			return walk{as[:min(len(as), frame.MaxCandidates)], service}
		}
	}
	return walk{}
}

// rankedUnasked returns agents of a service that have not been asked, the most
// likely holder of the flow first.
func (c *Core) rankedUnasked(k flow.Key, s frame.ServiceID, asked []netip.AddrPort) []netip.AddrPort {
	g := c.agents.group(s).all
	var as []netip.AddrPort
	for _, id := range c.ids[:g.Rank(k.Hash(), route.MaxRanked, c.ids[:])] {
		if !slices.Contains(asked, id.Addr) {
			as = append(as, id.Addr)
		}
	}
	if len(as) == 0 && g.Len() > route.MaxRanked {
		return c.agents.unasked(s, asked)
	}
	return as
}

// fitsOneWalk reports whether one walk visits all agents that may hold a flow of
// the route.
func (c *Core) fitsOneWalk(r *rules.Route) bool {
	return len(r.Shares) == 1 && c.agents.group(frame.ServiceIDOf(r.Shares[0].Service)).all.Len() <= route.MaxRanked
}
