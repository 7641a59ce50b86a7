package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

// lack is what a reset of an open flow lacks; empty if it may be sent.
type lack string

const (
	lacksTime       lack = "time"
	lacksRepeatable lack = "repeatableRoute"
	lacksDerivation lack = "derivedAgents"
	lacksAgents     lack = "knownAgents"
	lacksReturn     lack = "returnOfAgents"
	lacksDenial     lack = "denials"
	lacksList       lack = "completeList"
	lacksAnswers    lack = "confirmations"
	lacksAgreement  lack = "agreement"
)

// rosterHash is a hash of the runs of the agents that a balancer knows. 0 stands for no agent,
// and for a balancer that may not know all of them.
type rosterHash uint64

// resetGround is what a balancer knows when it decides whether to reset an open flow.
type resetGround struct {
	// age is the time since the search for the flow began. A later reset may meet another flow
	// from the same address.
	age time.Duration
	// repeatable is set if the requests of the route may be repeated.
	repeatable bool
	// derived is set if the agents below are those of the view: none is left to be derived.
	derived bool
	// known is the number of agents, up are the runs of those that are up, and awaited is the
	// number of those that are down and may resume their flows.
	known, awaited int
	up             agentSet
	// alone is set if there is no other balancer that could know another agent, and complete if
	// this one has had the time or the list from which to know all.
	alone, complete bool
}

// resetRight is the right to reset an open flow. Nothing else resets one: either all agents that
// may hold the flow have denied it, and other balancers know no other agent, or the one agent
// that held it is given up.
type resetRight struct {
	// holderKnown is set if a confirmed hint names the agent of the flow. Then no other one may
	// hold it, and only that agent counts as known and awaited.
	holderKnown bool
	// denied are the runs of agents that certainly do not hold the flow.
	denied agentSet
	// question is the list of agents that other balancers were asked about last. awaited are
	// those that have not answered, agreed is the number of those that know the same agents.
	question rosterHash
	awaited  []netip.AddrPort
	agreed   int
	// disagreed is set if one of them knows other agents, or may not know all.
	disagreed bool
}

// resetGuard is a condition of a reset.
type resetGuard struct {
	lack lack
	// forHolder is set if it also applies where the agent of the flow is known.
	forHolder bool
	holds     func(r *resetRight, g *resetGround) bool
}

// resetGuards are the conditions of a reset in the order in which they are met. Those from
// lacksAnswers on depend on the answers of other balancers.
var resetGuards = []resetGuard{
	{lacksTime, true, func(_ *resetRight, g *resetGround) bool { return g.age < searchLifetime+searchTimeout }},
	{lacksRepeatable, true, func(_ *resetRight, g *resetGround) bool { return g.repeatable }},
	{lacksDerivation, false, func(_ *resetRight, g *resetGround) bool { return g.derived }},
	{lacksAgents, true, func(_ *resetRight, g *resetGround) bool { return g.known > 0 }},
	{lacksReturn, true, func(_ *resetRight, g *resetGround) bool { return g.awaited == 0 }},
	{lacksDenial, false, func(r *resetRight, g *resetGround) bool { return g.up.countWithout(r.denied) == 0 }},
	{lacksList, false, func(_ *resetRight, g *resetGround) bool { return !g.alone || g.complete }},
	{lacksAnswers, false, func(r *resetRight, g *resetGround) bool { return g.alone || r.agreed > 0 && len(r.awaited) == 0 }},
	{lacksAgreement, false, func(r *resetRight, g *resetGround) bool { return g.alone || !r.disagreed }},
}

// lack returns the first condition of a reset that does not hold.
func (r *resetRight) lack(g *resetGround, guards []resetGuard) lack {
	for _, c := range guards {
		if (c.forHolder || !r.holderKnown) && !c.holds(r, g) {
			return c.lack
		}
	}
	return ""
}

// confirmable reports whether the answers of other balancers are all that is missing.
func (l lack) confirmable() bool {
	return l == lacksAnswers || l == lacksAgreement
}

// ask records that balancers are asked whether they know the agents of a list. All of them must:
// one that stands still may be the only one that knows another agent.
func (r *resetRight) ask(question rosterHash, asked []netip.AddrPort) {
	r.question, r.awaited = question, slices.Clone(asked)
	r.agreed, r.disagreed = 0, false
}

// note records the answer of a balancer, and reports whether it is awaited.
func (r *resetRight) note(from netip.AddrPort, known rosterHash) bool {
	n := slices.Index(r.awaited, from)
	if n < 0 {
		return false
	}
	r.awaited = slices.Delete(r.awaited, n, n+1)
	if known == r.question {
		r.agreed++
	} else {
		r.disagreed = true
	}
	return true
}

// resetGround returns what is known of the flows of a route whose search began at a time.
func (c *Core) resetGround(now, began time.Duration, r *rules.Route) *resetGround {
	return &resetGround{
		age: now - began, repeatable: r.Repeatable,
		derived: !c.agents.stale, known: len(c.agents.byAddr), up: c.agents.reachable, awaited: c.absentAgents(now, r),
		alone: c.alone(now), complete: c.listComplete(now),
	}
}

// resetOpen resets an open flow if nothing is lacking, and reports whether it did.
func (c *Core) resetOpen(k flow.Key, p *flow.Packet, r *resetRight, g *resetGround) bool {
	if p.Rst || r.lack(g, c.resetGuards) != "" {
		return false
	}
	c.Counts.Reset++
	c.reset(k, p)
	return true
}

// alone reports whether there is no other balancer that could know other agents. One that is
// silent may stand still, and counts until it is forgotten.
func (c *Core) alone(now time.Duration) bool {
	return len(c.Peers()) == 0 && (!c.peers.expected(c.self.Peer) || now-c.started >= peerForgetTime)
}

// allKnown reports whether the balancer can be assumed to know all agents. The list alone may
// lack some, which other balancers know, and what the view has learned is to be derived first.
func (c *Core) allKnown(now time.Duration) bool {
	return !c.agents.stale && c.listComplete(now)
}

// listComplete reports whether the balancer has heard of all agents that it can hear of.
func (c *Core) listComplete(now time.Duration) bool {
	return c.listRead && (!c.peers.expected(c.self.Peer) || len(c.Peers()) > 0) || now-c.started >= discoveryTime
}

// abandonFlow resets a flow whose agent is down, so that the caller sends the request again on
// another flow.
func (c *Core) abandonFlow(now time.Duration, k flow.Key, p *flow.Packet, agent netip.AddrPort) {
	r := c.rules.Route(k.Route())
	if r == nil {
		return
	}
	g := &resetGround{repeatable: r.Repeatable, known: 1}
	if !c.agents.flowsLost(now, agent) {
		g.awaited = 1
	}
	if !c.resetOpen(k, p, &resetRight{holderKnown: true}, g) {
		return
	}
	c.hints.Drop(k, agent)
	if c.Sample(true) {
		c.decisionLog("flowAbandoned", k, "reset").WithFields(logrus.Fields{"agent": agent, "seq": p.Seq}).Info("agent of the flow does not answer")
	}
}
