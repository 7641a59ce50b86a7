package hostd

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// witnessTimeout is the time without an answer of another agent after which this one says
	// that it does not hear it.
	witnessTimeout = 200 * time.Millisecond
	// maxWitnessed bounds the agents that are asked about at the same time, and maxAskers the
	// balancers that wait for the answer about one of them.
	maxWitnessed, maxAskers = 512, 16
)

// witness holds the agents that balancers ask about, because they do not hear them.
type witness map[netip.AddrPort]*inquiry

// inquiry is a question about another agent, which was sent a Ping at a time.
type inquiry struct {
	askers []netip.AddrPort
	at     time.Duration
}

// handleUnheard pings agents that a balancer does not hear. It is told whether they answer.
func (c *Core) handleUnheard(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	agents, ok := f.Unheard()
	if !ok {
		c.Counts.Foreign++
		return
	}
	for _, a := range agents {
		i := c.witness[a]
		switch {
		case a == c.self.Hop:
			c.sendHeard(a, true, from)
			continue
		case i == nil && len(c.witness) >= maxWitnessed:
			continue
		case i == nil:
			i = &inquiry{at: now}
			c.witness[a] = i
			c.send(&frame.Frame{Kind: frame.Ping}, a)
		}
		if !slices.Contains(i.askers, from) && len(i.askers) < maxAskers {
			i.askers = append(i.askers, from)
		}
	}
}

// tell answers the balancers that have asked about an agent.
func (w witness) tell(agent netip.AddrPort, heard bool, c *Core) {
	i := w[agent]
	if i == nil {
		return
	}
	delete(w, agent)
	for _, a := range i.askers {
		c.sendHeard(agent, heard, a)
	}
}

func (c *Core) sendHeard(agent netip.AddrPort, heard bool, to netip.AddrPort) {
	payload := frame.HeardPayload([]frame.HeardAgent{{Addr: agent, Heard: heard}})
	c.send(&frame.Frame{Kind: frame.Heard, Payload: payload}, to)
}

// expire answers questions about agents that have not answered.
func (w witness) expire(now time.Duration, c *Core) {
	for _, a := range slices.SortedFunc(maps.Keys(w), netip.AddrPort.Compare) {
		if now-w[a].at >= witnessTimeout {
			w.tell(a, false, c)
		}
	}
}
