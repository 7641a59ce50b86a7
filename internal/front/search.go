package front

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// searchTimeout is the time without an answer after which the agents that were
	// asked for a flow are pinged. Four times the round trip between two places and
	// the 50 ms for which a busy VM may not run fit into it.
	searchTimeout = 80 * time.Millisecond
	// searchRetryDelay is the time after which the agents are asked again if the
	// answers of a round do not allow a reset: an agent was down or had just started.
	searchRetryDelay = 100 * time.Millisecond
	// trialDelay replaces searchRetryDelay after a packet was sent on trial. It covers
	// the way to another place and the answer of a busy VM.
	trialDelay = 20 * time.Millisecond
	// searchLifetime is the time after which a search is given up. It covers the
	// timeouts of most requests; a later reset helps nobody.
	searchLifetime = 2 * time.Second
	// maxAgentsAtOnce is the number of agents up to which a search asks those of all
	// services right after the near ones. Queries to so many more agents take less time
	// than another round.
	maxAgentsAtOnce = 256
	// maxSearches limits the flows that are searched at the same time.
	maxSearches = 4096
	// maxFlowPackets is the number of packets of one flow that are kept during its
	// search. A caller sends up to 16 packets without an acknowledgement.
	maxFlowPackets = 16
	// maxKeptPackets limits the packets of all searches, beyond the first one of
	// each, which is always kept.
	maxKeptPackets = 2048
)

// searchStage is what a search waits for.
type searchStage uint8

const (
	// askingFirst waits for the agent that is the first in the order of the flow.
	askingFirst searchStage = iota
	// querying waits for queries to all agents of the route's services.
	querying
	// walking waits for agents that may hold the flow without knowing.
	walking
	// confirming waits for other balancers, before the flow is reset.
	confirming
	// pausing waits for the next round.
	pausing
)

// searchScope says which agents a round of a search asks. A search goes on to the next
// scope when no agent of the last one holds the flow.
type searchScope uint8

const (
	// nearScope has the first agents of the route's services in the order of the flow.
	nearScope searchScope = iota
	// routeScope has all agents of the route's services.
	routeScope
	// fullScope has all agents. A flow stays where it is when its route is moved to
	// another service, and a balancer that has just started, or that has skipped a
	// configuration, does not know the earlier service.
	fullScope
)

// suspect is an agent that may hold a flow without knowing, or that did not answer.
type suspect struct {
	agent   netip.AddrPort
	service frame.ServiceID
	// silent is set if the agent did not answer a query.
	silent bool
	// opening is set if the agent's upstream got the opening packet.
	opening bool
}

// search is the search for the agent that holds a flow.
type search struct {
	key   flow.Key
	stage searchStage
	began time.Duration
	// deadline is when the stage ends without an answer. Queries have their own.
	deadline time.Duration
	// packets are the packets to deliver once the agent is found; never empty.
	packets [][]byte
	// asked are the agents whose answer is awaited in the stages askingFirst and
	// walking.
	asked []netip.AddrPort
	// queried are the agents that this round asks, and awaited the number of its queries
	// without an answer.
	queried agentSet
	awaited int
	scope   searchScope
	// right says what a reset of the flow still lacks. Agents that have denied the flow are not
	// asked again.
	right resetRight
	// suspects are the agents that are still to be visited in this round.
	suspects []suspect
	// unlikely are the agents without a running upstream as it seems, which still may
	// hold the flow. They get the packet on trial once in a search.
	unlikely []suspect
	// unaware are the agents that do not know yet what their upstreams hold, or did not
	// answer a query of this round.
	unaware []netip.AddrPort
	// returned is set if an upstream has returned a packet of the flow, maybe one that another
	// balancer has sent.
	returned bool
	// carried is set if another balancer has handed on the packet that began the search.
	carried bool
	// tried is set once the unlikely agents have got the packet.
	tried, done bool
}

// searches holds the searches in progress.
type searches struct {
	byKey map[flow.Key]*search
	// kept is the number of packets kept beyond the first one of each search.
	kept int
	// nextDeadline is not later than the first deadline of a search.
	nextDeadline time.Duration
	queries      queries
}

func (s *searches) init() {
	s.byKey, s.nextDeadline = map[flow.Key]*search{}, never
	s.queries.init()
}

// keep adds a packet to a search if there is room.
func (s *searches) keep(o *search, packet []byte) {
	if len(o.packets) < maxFlowPackets && s.kept < maxKeptPackets {
		o.packets = append(o.packets, slices.Clone(packet))
		s.kept++
	}
}

// end removes a search.
func (s *searches) end(o *search) {
	if o.done {
		return
	}
	o.done = true
	s.kept -= len(o.packets) - 1
	delete(s.byKey, o.key)
}

// enter moves a search to a stage that ends at a deadline.
func (s *searches) enter(o *search, stage searchStage, deadline time.Duration) {
	o.stage, o.deadline = stage, deadline
	s.nextDeadline = min(s.nextDeadline, deadline)
}

// untilDeadline returns the time until the first deadline, at most tickInterval.
func (s *searches) untilDeadline(now time.Duration) time.Duration {
	return min(tickInterval, max(0, min(s.nextDeadline, s.queries.nextDue)-now))
}

// startSearch begins the search for the agent of a flow, of which a packet is given.
// It returns nil if there are too many searches.
func (c *Core) startSearch(now time.Duration, k flow.Key, packet []byte) *search {
	if len(c.searches.byKey) >= maxSearches {
		c.Counts.GivenUp++
		return nil
	}
	o := &search{key: k, began: now, packets: [][]byte{slices.Clone(packet)}}
	c.searches.byKey[k] = o
	return o
}

// askFirst sends a packet without a hint to the agent that most likely holds its
// flow. If that agent does not, all agents are asked.
func (c *Core) askFirst(now time.Duration, o *search, f *frame.Frame) {
	g := c.agents.group(f.Service)
	if g.all.Rank(o.key.Hash(), maxLocalCandidates, c.ids[:1]) == 0 {
		c.beginRound(now, o)
		return
	}
	a := c.ids[0].Addr
	o.asked = []netip.AddrPort{a}
	o.queried.add(c.agents.byAddr[a].index)
	c.searches.enter(o, askingFirst, now+searchTimeout)
	c.send(f, a)
}

// beginRound asks the agents of the search's scope that are not settled whether they
// hold the flow.
func (c *Core) beginRound(now time.Duration, o *search) {
	r := c.rules.Route(o.key.Route())
	if r == nil {
		c.Counts.NoRoute++
		c.searches.end(o)
		return
	}
	o.asked, o.suspects, o.unlikely, o.unaware, o.queried = nil, nil, nil, nil, nil
	c.searches.enter(o, querying, never)
	for _, u := range c.agentsToAsk(o, r) {
		o.awaited++
		if st := c.agents.byAddr[u.agent]; st != nil {
			o.queried.add(st.index)
		}
		c.searches.queries.add(now, u.agent, u.service, o)
	}
	if o.awaited == 0 {
		c.endScope(now, o)
		return
	}
	c.Counts.Queried++
	c.sendQueries(now)
}

// endScope goes on to the next scope after a round in which no agent held the flow. After
// the last one it ends the round.
func (c *Core) endScope(now time.Duration, o *search) {
	if o.scope == fullScope {
		c.endRound(now, o)
		return
	}
	o.scope++
	if len(c.agents.byAddr) <= maxAgentsAtOnce {
		o.scope = fullScope
	}
	c.beginRound(now, o)
}

// handleMissed continues a search after an agent has answered that it does not hold the
// flow.
func (c *Core) handleMissed(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	c.Counts.Missed++
	k := flow.KeyOf(p.From, p.To)
	c.hints.Drop(k, from)
	o := c.searches.byKey[k]
	if f.Tried && (o == nil || !o.visits(f)) {
		c.trials.record(now, k, 1) // Those of visits were recorded before.
	}
	switch {
	case o == nil:
		// The agent was taken from a hint.
		if o = c.startSearch(now, k, f.Payload); o != nil {
			c.beginRound(now, o)
		}
	case !bytes.Equal(f.Payload, o.packets[0]):
		// An agent had kept it with the packet that is searched for, or the answer is late.
		if !slices.ContainsFunc(o.packets, func(b []byte) bool { return bytes.Equal(b, f.Payload) }) {
			c.searches.keep(o, f.Payload)
		}
	case o.stage == askingFirst && len(f.Candidates) == 0:
		if !f.Unsure {
			c.settle(o, from)
		}
		c.beginRound(now, o)
	case o.visits(f):
		c.endVisit(now, o, f)
	}
}

// endRound goes on with a search after all agents that can be asked were asked: by packets on
// trial at the agents that are unlikely to hold the flow, by another balancer that hears an agent
// which this one does not hear, or as decideLost says.
func (c *Core) endRound(now time.Duration, o *search) {
	p, ok := c.codec.Decode(o.packets[0])
	r := c.rules.Route(o.key.Route())
	if !ok || p.Rst || r == nil {
		c.searches.end(o)
		return
	}
	g := c.resetGround(now, o.began, r)
	unsure := g.up.countWithout(o.right.denied)
	noneMissing := g.derived && g.complete && g.awaited == 0
	delay := searchRetryDelay
	if noneMissing && unsure > 0 && unsure == len(o.unlikely) && c.sendTrials(now, o, &p) {
		delay = trialDelay
	}
	if unsure == 0 && c.passOnAll(now, o, r) {
		c.searches.end(o)
		return
	}
	c.decideLost(now, o, g, delay)
}

// decideLost resets a flow if nothing is lacking, asks other balancers if only their word is, and
// otherwise has the agents asked again after a delay. Flows whose requests may not be repeated are
// never reset, and asking again could deliver a packet after its caller has given up, so their
// search ends.
func (c *Core) decideLost(now time.Duration, o *search, g *resetGround, delay time.Duration) {
	switch l := o.right.lack(g, c.resetGuards); {
	case l == "", l == lacksRepeatable, l == lacksTime:
		c.endLost(now, o, g)
	case l.confirmable():
		c.confirm(now, o)
	case g.age >= searchLifetime:
		c.endLost(now, o, g)
	default:
		c.searches.enter(o, pausing, now+delay)
	}
}

// endLost ends the search for a flow that no agent was found to hold, and resets the flow if
// nothing is lacking.
func (c *Core) endLost(now time.Duration, o *search, g *resetGround) {
	c.searches.end(o)
	c.Counts.Lost++
	p, _ := c.codec.Decode(o.packets[0]) // Cannot fail: it was decoded before.
	outcome := "dropped"
	if c.resetOpen(o.key, &p, &o.right, g) {
		outcome = "reset"
	}
	if !c.Sample(true) {
		return
	}
	c.decisionLog("flowLost", o.key, outcome).WithFields(logrus.Fields{
		"seq": p.Seq, "size": p.Size, "repeatable": g.repeatable, "settled": g.derived && g.complete, "unsure": g.up.countWithout(o.right.denied) > 0, "lacks": o.right.lack(g, c.resetGuards), "agents": g.known, "absentAgents": g.awaited,
		"unsureAgents": g.up.countWithout(o.right.denied), "deniedBy": o.right.denied.countWithout(nil), "took": now - o.began,
		"agreed": o.right.agreed, "unanswered": len(o.right.awaited), "disagreed": o.right.disagreed,
	}).Info("no agent holds the flow")
}

// sendTrials sends the packet on trial to the agents that are unlikely to hold the
// flow, unless it did so before. It reports whether it did. All other agents have denied the
// flow. A FIN is no trial: it may be acknowledged on behalf of an upstream that has ended.
func (c *Core) sendTrials(now time.Duration, o *search, p *flow.Packet) bool {
	if o.tried || p.Fin || c.trials.allow(now, o.key, len(o.unlikely)) == 0 {
		return false
	}
	o.tried = true
	c.trials.record(now, o.key, len(o.unlikely))
	for _, u := range o.unlikely {
		c.send(&frame.Frame{Kind: frame.Trial, Service: u.service, Balancer: c.self.Peer, Payload: o.packets[0]}, u.agent)
	}
	return true
}

// checkSearches ends the stages whose deadlines have passed and pings the agents that
// have not answered.
func (c *Core) checkSearches(now time.Duration) {
	c.checkQueries(now)
	if now < c.searches.nextDeadline {
		return
	}
	var due []*search
	c.searches.nextDeadline = never
	for _, o := range c.searches.byKey {
		if now >= o.deadline {
			due = append(due, o)
		} else {
			c.searches.nextDeadline = min(c.searches.nextDeadline, o.deadline)
		}
	}
	slices.SortFunc(due, func(a, b *search) int {
		return cmp.Or(cmp.Compare(a.began, b.began), bytes.Compare(a.key[:], b.key[:]))
	})
	for _, o := range due {
		for _, a := range o.asked {
			c.agents.probe(now, a, c)
		}
		switch o.stage {
		case walking:
			c.visitSuspects(now, o)
		case confirming:
			c.endConfirm(now, o)
		default:
			c.beginRound(now, o)
		}
	}
}
