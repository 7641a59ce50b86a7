package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// visitSuspects sends the packet to agents that may hold the flow without knowing, or ends the
// round if there are none left. All that may try it at their upstreams get it at once: if they
// passed it on from one to the next, the loss of one of them would leave the upstream of the flow
// without the packet that others have got. An agent whose upstream got the opening packet needs
// no trial, since it knows what the caller must acknowledge. One that did not answer a query may
// run a version that does not know them, and say that it holds the flow when it gets the packet.
func (c *Core) visitSuspects(now time.Duration, o *search) {
	next := o.take(func(u suspect) bool { return u.opening })
	trials := uint8(0)
	if len(next) == 0 {
		if next = c.tryable(now, o); len(next) > 0 {
			trials = 1
			c.trials.record(now, o.key, len(next))
			o.take(func(u suspect) bool { return slices.Contains(next, u) })
		}
	}
	if len(next) == 0 {
		next = o.take(func(u suspect) bool { return u.silent })
	}
	if len(next) == 0 {
		c.endScope(now, o)
		return
	}
	o.asked = nil
	c.Counts.Walked++
	c.searches.enter(o, walking, now+searchTimeout)
	w := frame.Frame{Kind: frame.Walk, Balancer: c.self.Peer, TrialsLeft: trials, Payload: o.packets[0]}
	for _, u := range next {
		o.asked = append(o.asked, u.agent)
		w.Service, w.Candidates = u.service, []frame.Candidate{{Addr: u.agent}}
		c.send(&w, u.agent)
	}
}

// take removes the suspects that match and returns them.
func (o *search) take(match func(suspect) bool) (taken []suspect) {
	o.suspects = slices.DeleteFunc(o.suspects, func(u suspect) bool {
		if match(u) {
			taken = append(taken, u)
			return true
		}
		return false
	})
	return taken
}

// endVisit records that an agent has denied the flow, and goes on when all have.
func (c *Core) endVisit(now time.Duration, o *search, f *frame.Frame) {
	a := f.Candidates[0].Addr
	if !f.Unsure {
		c.settle(o, a)
	}
	o.asked = slices.DeleteFunc(o.asked, func(b netip.AddrPort) bool { return b == a })
	if len(o.asked) == 0 {
		c.visitSuspects(now, o)
	}
}

// visits reports whether a denial answers a visit of the search.
func (o *search) visits(f *frame.Frame) bool {
	return o.stage == walking && len(f.Candidates) == 1 && slices.Contains(o.asked, f.Candidates[0].Addr)
}
