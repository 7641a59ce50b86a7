package relay

import (
	"net/netip"
	"sync/atomic"
)

// agentStat is what the data path observes of one agent. Times are in
// nanoseconds since the Unix epoch; zero means never.
type agentStat struct {
	// lastHeard is when the last valid packet of the agent arrived.
	lastHeard atomic.Int64
	// unanswered is when the first new flow was sent to the agent after its last
	// packet; zero if no new flow was sent after that packet.
	unanswered atomic.Int64
}

// stat returns the record of the agent with a hop address, or nil for an agent
// that the view does not contain yet.
func (b *Balancer) stat(a netip.AddrPort) *agentStat {
	if m := b.stats.Load(); m != nil {
		return (*m)[a]
	}
	return nil
}

// recordHeard records that a valid packet arrived from an agent.
func (b *Balancer) recordHeard(from netip.AddrPort, now int64) {
	s := b.stat(from)
	if s == nil {
		return
	}
	// Loading first avoids a write to a shared cache line for each packet of a
	// batch.
	if s.lastHeard.Load() != now {
		s.lastHeard.Store(now)
	}
	if s.unanswered.Load() != 0 {
		s.unanswered.Store(0)
	}
}

// recordNewFlow records that a new flow was sent to an agent.
func (b *Balancer) recordNewFlow(to netip.AddrPort, now int64) {
	if s := b.stat(to); s != nil && s.unanswered.Load() == 0 {
		s.unanswered.CompareAndSwap(0, now)
	}
}
