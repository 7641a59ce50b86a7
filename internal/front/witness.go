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
	// hear the agents that this one does not hear.
	maxWitnesses = 4
	// witnessTime is how long packets are handed to a balancer after it has said that it hears
	// an agent. It is asked again each downPingInterval.
	witnessTime = time.Second
	// maxAskers bounds the balancers that wait for the answer of one agent.
	maxAskers = 16
	// aloneTime is the time without a datagram of any other balancer from which on this one
	// decides alone. They exchange views every second.
	aloneTime = 2 * time.Second
)

// testimony is what other balancers have said of an agent that this one does not hear.
type testimony struct {
	// answeredAt is when one of them last told whether it hears the agent, or there was none
	// to ask; 0 before the first time.
	answeredAt time.Duration
	// witness last said at heardAt that it hears the agent, and has not taken that back since;
	// 0 if none has. withdrawnAt is when one took it back.
	witness              netip.AddrPort
	heardAt, withdrawnAt time.Duration
}

// heard reports whether another balancer hears the agent at present.
func (t *testimony) heard(now time.Duration) bool {
	return t.heardAt > 0 && now-t.heardAt < witnessTime
}

// note records the answer of another balancer.
func (t *testimony) note(now time.Duration, from netip.AddrPort, heard bool) {
	t.answeredAt = now
	switch {
	case heard:
		t.heardAt, t.witness = now, from
	case from == t.witness && t.heardAt > 0:
		t.heardAt, t.withdrawnAt = 0, now
	}
}

// alone reports whether there is no other balancer that could be asked.
func (c *Core) alone(now time.Duration) bool {
	return now-c.peers.heardAt >= aloneTime || len(c.Peers()) == 0
}

// askWitnesses asks other balancers whether they hear agents that do not answer this one.
func (c *Core) askWitnesses(now time.Duration, silent []*agentState) {
	if len(silent) == 0 {
		return
	}
	if c.alone(now) {
		for _, st := range silent {
			st.testimony.answeredAt = now
		}
		return
	}
	var agents []netip.AddrPort
	for _, st := range silent {
		agents = append(agents, st.entry.Key.Hop)
	}
	peers := c.Peers()
	c.self.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	for part := range slices.Chunk(agents, frame.MaxHeard) {
		for _, p := range peers[:min(len(peers), maxWitnesses)] {
			c.send(&frame.Frame{Kind: frame.Unheard, Balancer: c.self.Peer, Payload: frame.UnheardPayload(part)}, p)
		}
	}
}

// handleUnheard pings agents that another balancer does not hear. It is told once they have
// answered, and meanwhile if they count as down here, too: what was heard before says nothing
// about now.
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
		if st.downAt > 0 {
			down = append(down, frame.HeardAgent{Addr: a})
		}
		c.agents.probe(now, a, c)
	}
	if len(down) > 0 {
		c.send(&frame.Frame{Kind: frame.Heard, Balancer: c.self.Peer, Payload: frame.HeardPayload(down)}, from)
	}
}

// answerAskers tells the balancers that have asked for an agent whether this one hears it. They
// are told again when an agent that is down answers after all.
func (c *Core) answerAskers(st *agentState, heard bool) {
	for _, a := range st.askers {
		payload := frame.HeardPayload([]frame.HeardAgent{{Addr: st.entry.Key.Hop, Heard: heard}})
		c.send(&frame.Frame{Kind: frame.Heard, Balancer: c.self.Peer, Payload: payload}, a)
	}
	if heard {
		st.askers = nil
	}
}

// handleHeard records what another balancer says of agents that this one does not hear.
func (c *Core) handleHeard(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	agents, ok := f.Heard()
	if !ok {
		c.Counts.Foreign++
		return
	}
	for _, a := range agents {
		st := c.agents.byAddr[a.Addr]
		if st == nil || st.downAt == 0 {
			continue
		}
		if a.Heard && st.testimony.heardAt < st.downAt {
			c.Log.WithFields(logrus.Fields{"event": "agentHeardByOther", "agent": a.Addr, "balancer": from, "downFor": now - st.downAt}).Warn("agent answers another balancer")
		}
		st.testimony.note(now, from, a.Heard)
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

// witnessFor returns a balancer to which the packets of a search can be handed on: all agents
// that this one hears have denied the flow, and another balancer hears one of the others. It
// returns none while it is not known of all of them.
func (c *Core) witnessFor(now time.Duration, o *search, r *rules.Route) (w netip.AddrPort, ok bool) {
	if o.carried {
		return w, false
	}
	own := map[frame.ServiceID]bool{}
	for _, s := range r.Shares {
		own[frame.ServiceIDOf(s.Service)] = true
	}
	for _, st := range c.agents.unreachable {
		switch {
		case st.testimony.heard(now) && (!ok || own[frame.ServiceIDOf(st.entry.Service)]):
			w, ok = st.testimony.witness, true
		case !st.testimony.heard(now) && !st.overdue(now):
			return netip.AddrPort{}, false
		}
	}
	return w, ok
}
