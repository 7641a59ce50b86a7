package front

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// forward sends a packet of an open flow to its agent or, without a hint, to the
// agent that most likely holds the flow. carried is set if another balancer has handed it on.
func (c *Core) forward(now time.Duration, k flow.Key, p *flow.Packet, b []byte, carried bool) {
	c.Counts.Carried++
	f := frame.Frame{Kind: frame.Data, Balancer: c.self.Peer, Payload: b}
	if h, ok := c.hints.Carry(now, k, p); ok {
		st := c.agents.byAddr[h.Agent]
		switch lost := c.agents.flowsLost(now, h.Agent); {
		case !carried && st != nil && st.downAt > 0 && st.testimony.heard(now):
			c.passOn(b, st)
			return
		case !lost:
			f.Hinted, f.TrialsLeft, f.Service = true, 1, frame.ServiceID(h.Service)
			c.send(&f, h.Agent)
			return
		case h.Confirmed:
			c.abandonFlow(now, k, p, h.Agent)
			return
		}
		// Another agent may hold the flow.
		c.hints.Drop(k, h.Agent)
	}
	name, ok := c.rules.Service(k.Route(), k.Hash())
	if !ok {
		c.Counts.NoRoute++
		return
	}
	if o := c.searches.byKey[k]; o != nil {
		c.searches.keep(o, b)
		return
	}
	f.Service = frame.ServiceIDOf(name)
	if o := c.startSearch(now, k, b); o != nil {
		o.carried = carried
		c.askFirst(now, o, &f)
	}
}
