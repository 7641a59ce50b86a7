package relay

import (
	"net/netip"
	"sync/atomic"
)

// agentStat is what the data path observes of one agent. Times are in
// nanoseconds since the Unix epoch; zero means never.
type agentStat struct {
	// lastHeard is when a packet of the agent arrived.
	lastHeard atomic.Int64
	// unanswered is when the oldest new flow was sent that no packet of the
	// agent has followed; zero when there is none.
	unanswered atomic.Int64
}

// stat returns the record of the agent with a hop address; nil is normal for
// an agent that the view does not hold yet.
func (b *Balancer) stat(a netip.AddrPort) *agentStat {
	if m := b.stats.Load(); m != nil {
		return (*m)[a]
	}
	return nil
}

// noteHeard records a valid packet from an agent.
func (b *Balancer) noteHeard(from netip.AddrPort, now int64) {
	s := b.stat(from)
	if s == nil {
		return
	}
	// The loads spare a write to a shared cache line for every packet of a batch.
	if s.lastHeard.Load() != now {
		s.lastHeard.Store(now)
	}
	if s.unanswered.Load() != 0 {
		s.unanswered.Store(0)
	}
}

// noteNewFlow records that a new flow was sent to an agent.
func (b *Balancer) noteNewFlow(to netip.AddrPort, now int64) {
	if s := b.stat(to); s != nil && s.unanswered.Load() == 0 {
		s.unanswered.CompareAndSwap(0, now)
	}
}
