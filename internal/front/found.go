package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// foundAgent ends a search and delivers packets to the agent that holds the flow.
func (c *Core) foundAgent(now time.Duration, o *search, h flow.Hint, packets [][]byte) {
	c.trials.forget(o.key)
	c.foundClaim(now, o, h, packets)
}

// foundClaim does the same for an agent whose upstream seems to hold the flow. The trials
// still count, since it may turn out that it does not.
func (c *Core) foundClaim(now time.Duration, o *search, h flow.Hint, packets [][]byte) {
	c.searches.end(o)
	c.hints.Put(now, o.key, h)
	for _, b := range packets {
		c.send(&frame.Frame{
			Kind: frame.Data, Balancer: c.self.Peer, Service: frame.ServiceID(h.Service), Hinted: true, TrialsLeft: 1, Payload: b,
		}, h.Agent)
	}
}

// handleClaim ends the search for a flow that an upstream seems to hold: it has got the
// first of the packets and did not return it. A claim replaces no hint.
func (c *Core) handleClaim(now time.Duration, k flow.Key, f *frame.Frame, from netip.AddrPort) {
	o := c.searches.byKey[k]
	if _, known := c.hints.Get(now, k); known || o == nil {
		return
	}
	c.foundClaim(now, o, flow.Hint{Agent: from, Service: uint32(f.Service)}, o.packets[1:])
}

// endSearch ends the search for a flow that an agent has found, or has taken before the
// packets arrived. One that got the opening packet late takes the flow too; the caller has
// not acknowledged the answer of its upstream. Agents of earlier versions do not say whether
// the flow is open.
func (c *Core) endSearch(now time.Duration, o *search, f *frame.Frame, h flow.Hint) {
	if f.Open || !f.Answered && slices.Contains(o.asked, h.Agent) {
		c.foundAgent(now, o, h, o.packets[1:]) // The agent has got the first one.
		return
	}
	if p, ok := c.codec.Decode(o.packets[0]); ok && h.AcknowledgedBy(&p) {
		h.Confirmed = true
		c.foundAgent(now, o, h, o.packets)
	}
}
