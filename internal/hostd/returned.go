package hostd

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// handleReturned handles a packet that the upstream did not accept.
func (c *Core) handleReturned(now time.Duration, p *flow.Packet, b []byte) {
	c.Counts.Returned++
	k := flow.KeyOf(p.From, p.To)
	c.codec.ClearReturned(b)
	if p.Opens() {
		if !c.upstream.reported && c.upstream.lastPacketAt == 0 && !c.upstream.down {
			// Something at the address refuses flows and has never served one.
			c.upstream.down = true
			c.announceChange(now)
		}
		c.forwardReturnedOpening(now, k, b)
		return
	}
	if t := c.trials[k]; t != nil && !t.returned {
		t.returned = true
		c.upstream.triedAt = 0
		if f := t.frame; f.Kind != frame.Trial {
			f.Payload, f.TrialsLeft, f.Unsure, f.Tried = b, f.TrialsLeft-1, t.unsure, true
			c.forwardMissed(&f)
		}
		c.returnKept(t)
		return
	}
	e := c.table.Get(k)
	switch {
	case e != nil && e.Open():
		c.dropReturned(k, e, p, b)
	case e == nil && c.trials[k] != nil && c.trials[k].claimed:
		t := c.trials[k]
		c.forwardMissed(&frame.Frame{Kind: frame.Data, Service: t.frame.Service, Balancer: t.frame.Balancer, Tried: true, Payload: b})
	}
}

// dropReturned removes a flow that the upstream does not hold. It resets the flow, since no
// process holds it any more, unless the packet is of another flow from the same address,
// which another agent may hold.
func (c *Core) dropReturned(k flow.Key, e *flow.Entry, p *flow.Packet, b []byte) {
	c.table.Drop(k)
	if e.Acknowledges(p) {
		c.Counts.Reset++
		c.ToCaller(c.codec.Reset(p), p.From.Addr())
	} else if e.Balancer.IsValid() {
		c.forwardMissed(&frame.Frame{Kind: frame.Data, Service: c.upstream.id(), Balancer: e.Balancer, Payload: b})
	}
}
