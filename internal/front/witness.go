package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// maxWitnesses is the number of other balancers that are asked at a time whether they
	// hear the agents that this one does not hear, and maxAgentWitnesses that of agents.
	maxWitnesses, maxAgentWitnesses = 4, 2
	// witnessTime is how long packets are handed to a witness after it has said that it hears
	// an agent. It is asked again each downPingInterval.
	witnessTime = time.Second
	// maxAskers bounds the balancers that wait for the answer of one agent.
	maxAskers = 16
	// aloneTime is the time without a datagram of any other balancer from which on the word of
	// agents is enough. Balancers exchange views every second.
	aloneTime = 2 * time.Second
)

// testimony is what other processes have said of an agent that this balancer does not hear.
type testimony struct {
	// answeredAt is when another balancer last told whether it hears the agent, or there was
	// none to ask, and agentAnsweredAt when another agent did; 0 before the first time.
	answeredAt, agentAnsweredAt time.Duration
	// witness last said at heardAt that it hears the agent, and has not taken that back since;
	// 0 if none has. withdrawnAt is when one took it back.
	witness              netip.AddrPort
	heardAt, withdrawnAt time.Duration
	// byAgent is set if the witness is an agent.
	byAgent bool
}

// heard reports whether another process hears the agent at present.
func (t *testimony) heard(now time.Duration) bool {
	return t.heardAt > 0 && now-t.heardAt < witnessTime
}

// note records the answer of another balancer, or of an agent. A balancer is the better witness,
// since it can search for a flow.
func (t *testimony) note(now time.Duration, from netip.AddrPort, heard, byAgent bool) {
	if byAgent {
		t.agentAnsweredAt = now
	} else {
		t.answeredAt = now
	}
	switch {
	case heard && byAgent && !t.byAgent && t.heard(now):
	case heard:
		t.heardAt, t.witness, t.byAgent = now, from, byAgent
	case from == t.witness && t.heardAt > 0:
		t.heardAt, t.withdrawnAt = 0, now
	}
}

// askWitnesses asks other balancers whether they hear agents that do not answer this one. Some
// agents are asked, too: a link may fall silent between this balancer and an agent while the
// balancers that hear the agent stand still.
func (c *Core) askWitnesses(now time.Duration, silent []*agentState) {
	if len(silent) == 0 {
		return
	}
	peers := c.Peers()
	if len(peers) == 0 || now-c.peers.heardAt >= aloneTime {
		for _, st := range silent {
			st.testimony.answeredAt = now
		}
	}
	c.sendUnheard(silent, peers, maxWitnesses)
	undecided := slices.DeleteFunc(slices.Clone(silent), func(st *agentState) bool { return st.overdue(now) })
	var up []netip.AddrPort
	for index := range c.agents.reachable.without(nil) {
		up = append(up, c.agents.byIndex[index].entry.Key.Hop)
	}
	if len(up) == 0 {
		for _, st := range undecided {
			st.testimony.agentAnsweredAt = now
		}
	}
	c.sendUnheard(undecided, up, maxAgentWitnesses)
}

// sendUnheard asks some of the given processes about agents.
func (c *Core) sendUnheard(silent []*agentState, witnesses []netip.AddrPort, most int) {
	var agents []netip.AddrPort
	for _, st := range silent {
		agents = append(agents, st.entry.Key.Hop)
	}
	c.self.Random.Shuffle(len(witnesses), func(a, b int) { witnesses[a], witnesses[b] = witnesses[b], witnesses[a] })
	for part := range slices.Chunk(agents, frame.MaxHeard) {
		for _, a := range witnesses[:min(len(witnesses), most)] {
			c.send(&frame.Frame{Kind: frame.Unheard, Balancer: c.self.Peer, Payload: frame.UnheardPayload(part)}, a)
		}
	}
}

// handleUnheard pings agents that another balancer does not hear. It is told once they have
// answered, and meanwhile if they have been silent for long here, too: this balancer may know that
// they stop as planned, and what was heard before says nothing about now.
func (c *Core) handleUnheard(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	agents, ok := f.Unheard()
	if !ok {
		c.Counts.Foreign++
		return
	}
	var down []frame.HeardAgent
	for _, a := range agents {
		st := c.agents.byAddr[a]
		if st == nil {
			continue
		}
		if !slices.Contains(st.askers, from) && len(st.askers) < maxAskers {
			st.askers = append(st.askers, from)
		}
		if st.silentLong(now) {
			down = append(down, frame.HeardAgent{Addr: a})
		}
		c.agents.probe(now, a, c)
	}
	if len(down) > 0 {
		c.send(&frame.Frame{Kind: frame.Heard, Balancer: c.self.Peer, Payload: frame.HeardPayload(down)}, from)
	}
}

// answerAskers tells the balancers that have asked for an agent that this one hears it.
func (c *Core) answerAskers(st *agentState) {
	for _, a := range st.askers {
		payload := frame.HeardPayload([]frame.HeardAgent{{Addr: st.entry.Key.Hop, Heard: true}})
		c.send(&frame.Frame{Kind: frame.Heard, Balancer: c.self.Peer, Payload: payload}, a)
	}
	st.askers = nil
}

// handleHeard records what another process says of agents that this one does not hear.
func (c *Core) handleHeard(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	agents, ok := f.Heard()
	if !ok {
		c.Counts.Foreign++
		return
	}
	byAgent := c.agents.byAddr[from] != nil
	for _, a := range agents {
		st := c.agents.byAddr[a.Addr]
		if st == nil || st.downAt == 0 {
			continue
		}
		if a.Heard && st.testimony.heardAt < st.downAt {
			c.Log.WithFields(logrus.Fields{"event": "agentHeardByOther", "agent": a.Addr, "balancer": from, "byAgent": byAgent, "downFor": now - st.downAt}).Warn("agent answers another process")
		}
		st.testimony.note(now, from, a.Heard, byAgent)
	}
}

// carryOn hands a caller's packet to a balancer that hears the agent of its flow.
func (c *Core) carryOn(packet []byte, to netip.AddrPort) {
	c.Counts.CarriedOn++
	c.send(&frame.Frame{Kind: frame.Carry, Balancer: c.self.Peer, Payload: packet}, to)
}

// handleCarry handles a caller's packet that another balancer has handed on. It is not handed
// on again.
func (c *Core) handleCarry(now time.Duration, f *frame.Frame) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(f.Payload); !ok || p.Returned || p.Opens() {
		c.Counts.Foreign++
		return
	}
	c.forward(now, flow.KeyOf(p.From, p.To), p, f.Payload, true)
}

// passOn hands a packet for an agent that this balancer does not hear to a witness: to a balancer,
// or by way of another agent.
func (c *Core) passOn(packet []byte, st *agentState) {
	t := &st.testimony
	if !t.byAgent {
		c.carryOn(packet, t.witness)
		return
	}
	c.Counts.CarriedOn++
	c.send(&frame.Frame{
		Kind: frame.Walk, Service: frame.ServiceIDOf(st.entry.Service), Balancer: c.self.Peer, Payload: packet,
		Candidates: []frame.Candidate{{Addr: t.witness}, {Addr: st.entry.Key.Hop}},
	}, t.witness)
}

// passOnAll hands the packets of a search to another balancer that hears an agent which this one
// does not hear, or by way of other agents to those that may hold the flow. It reports false if
// there is none, and while it is not known of all of them.
func (c *Core) passOnAll(now time.Duration, o *search, r *rules.Route) bool {
	if o.carried {
		return false
	}
	own := map[frame.ServiceID]bool{}
	for _, s := range r.Shares {
		own[frame.ServiceIDOf(s.Service)] = true
	}
	var heard []*agentState
	var balancer *agentState
	for _, st := range c.agents.unreachable {
		switch {
		case !st.testimony.heard(now) && !st.overdue(now):
			return false
		case !st.testimony.heard(now):
		case st.testimony.byAgent:
			heard = append(heard, st)
		case balancer == nil || own[frame.ServiceIDOf(st.entry.Service)]:
			balancer = st
		}
	}
	if balancer != nil {
		heard = []*agentState{balancer}
	}
	for _, st := range heard[:min(len(heard), maxTrials)] {
		for _, b := range o.packets {
			c.passOn(b, st)
		}
	}
	return len(heard) > 0
}
