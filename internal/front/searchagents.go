package front

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

// maxNearAgents is the number of agents of a service that are asked in the first round
// of a search. Opening packets are offered to the first ones in the order of the flow,
// so they hold most flows.
const maxNearAgents = 8

// agentsToAsk returns the agents in the scope of a search that are not settled.
func (c *Core) agentsToAsk(o *search, r *rules.Route) []suspect {
	switch o.scope {
	case nearScope:
		return c.nearAgents(o, r)
	case routeScope:
		return c.unsettledOf(o, r)
	default:
		return c.unsettled(o)
	}
}

// nearAgents returns the first agents in the order of the flow that are not settled.
func (c *Core) nearAgents(o *search, r *rules.Route) []suspect {
	var as []suspect
	for _, s := range r.Shares {
		id := frame.ServiceIDOf(s.Service)
		n := c.agents.group(id).all.Rank(o.key.Hash(), maxLocalCandidates, c.ids[:maxNearAgents])
		for _, e := range c.ids[:n] {
			if st := c.agents.byAddr[e.Addr]; st != nil && !o.right.denied.has(st.index) {
				as = append(as, suspect{agent: e.Addr, service: id})
			}
		}
	}
	return as
}

// unsettledOf returns the agents of a route's services that are up and may hold a flow.
func (c *Core) unsettledOf(o *search, r *rules.Route) []suspect {
	var us []suspect
	for _, s := range r.Shares {
		id := frame.ServiceIDOf(s.Service)
		for _, a := range c.agents.group(id).reachable {
			if st := c.agents.byAddr[a]; st != nil && !o.right.denied.has(st.index) {
				us = append(us, suspect{agent: a, service: id})
			}
		}
	}
	return us
}

// unsettled returns the agents of all services that are up and may hold a flow.
func (c *Core) unsettled(o *search) []suspect {
	var us []suspect
	for index := range c.agents.reachable.without(o.right.denied) {
		e := &c.agents.byIndex[index].entry
		us = append(us, suspect{agent: e.Key.Hop, service: frame.ServiceIDOf(e.Service)})
	}
	return us
}

// absentAgents returns the number of agents that are down and may still hold flows of a
// route. Only for the route's own services it matters whether most of their agents are
// down: a balancer whose link fails loses those as well.
func (c *Core) absentAgents(now time.Duration, r *rules.Route) int {
	n := 0
	own := map[frame.ServiceID]bool{}
	for _, s := range r.Shares {
		if id := frame.ServiceIDOf(s.Service); !own[id] {
			own[id] = true
			n += c.agents.group(id).awaited(now)
		}
	}
	for _, st := range c.agents.unreachable {
		if !own[frame.ServiceIDOf(st.entry.Service)] && !st.overdue(now) {
			n++
		}
	}
	return n
}

// settle records that an agent certainly does not hold a flow. A denial is the word of the run
// that was asked: if another one has started since, that is to be asked.
func (c *Core) settle(o *search, a netip.AddrPort) {
	if st := c.agents.byAddr[a]; st != nil && o.queried.has(st.index) {
		o.right.denied.add(st.index)
	}
}
