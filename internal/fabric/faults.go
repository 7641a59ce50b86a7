package fabric

import (
	"net/netip"
	"sync/atomic"
	"time"
)

// direction is the direction of a packet.
type direction int

const (
	toBalancer direction = iota
	toCaller
	directionCount
)

// Faults are the faults in one direction between callers and all balancers.
type Faults struct {
	// Loss and Duplicate are probabilities per packet, from 0 to 1.
	Loss, Duplicate float64
	// Delay is added to each packet. Jitter is the upper limit of a further
	// delay, uniformly distributed and drawn per packet, so packets are reordered.
	Delay, Jitter time.Duration
}

// BalancerFaults are the faults between the fabric and one balancer.
type BalancerFaults struct {
	// LossTo and LossFrom are loss probabilities per packet, from 0 to 1, of
	// packets to and from the balancer.
	LossTo, LossFrom float64
	// Delay is added to each packet in each direction.
	Delay time.Duration
	// Frozen drops all packets in both directions. The fabric still selects the
	// balancer for its share of the packets.
	Frozen bool
}

// SetFaults replaces the faults towards balancers and towards callers.
func (f *Fabric) SetFaults(towardsBalancers, towardsCallers Faults) {
	f.mu.Lock()
	f.faults = [directionCount]Faults{toBalancer: towardsBalancers, toCaller: towardsCallers}
	f.mu.Unlock()
}

// SetBalancerFaults replaces the faults of the balancer at the given address.
func (f *Fabric) SetBalancerFaults(balancer netip.AddrPort, b BalancerFaults) {
	f.mu.Lock()
	f.balancerFaults[balancer] = b
	f.mu.Unlock()
}

// ForgetCaller drops all further packets from and to a caller address, like a NAT
// or firewall on the path that lost its connection state. New addresses work. It
// cannot be undone, because such a device does not recover the state of an open
// flow.
func (f *Fabric) ForgetCaller(caller netip.AddrPort) {
	f.mu.Lock()
	f.forgotten[caller] = true
	f.mu.Unlock()
}

// Counters holds packet counts since the start.
type Counters struct {
	// ToBalancers and ToCallers count the packets to be sent, duplicates included.
	// A delayed packet is counted before it is queued, so Overflowed ones are
	// included.
	ToBalancers uint64 `json:"toBalancers"`
	ToCallers   uint64 `json:"toCallers"`
	// Lost counts packets dropped at random by a loss probability.
	Lost uint64 `json:"lost"`
	// Frozen counts packets dropped to and from frozen balancers.
	Frozen uint64 `json:"frozen"`
	// Forgotten counts packets dropped to and from forgotten caller addresses.
	Forgotten  uint64 `json:"forgotten"`
	Duplicated uint64 `json:"duplicated"`
	Delayed    uint64 `json:"delayed"`
	Replayed   uint64 `json:"replayed"`
	Injected   uint64 `json:"injected"`
	// Overflowed counts packets dropped because the delay queue was full.
	Overflowed uint64 `json:"overflowed"`
	// Failed counts packets dropped because no socket could be opened.
	Failed uint64 `json:"failed"`
}

type counters struct {
	sent                                            [directionCount]atomic.Uint64
	lost, frozen, forgotten, duplicated             atomic.Uint64
	delayed, replayed, injected, overflowed, failed atomic.Uint64
}

// Counters returns the current counts.
func (f *Fabric) Counters() Counters {
	c := &f.counters
	return Counters{
		ToBalancers: c.sent[toBalancer].Load(),
		ToCallers:   c.sent[toCaller].Load(),
		Lost:        c.lost.Load(),
		Frozen:      c.frozen.Load(),
		Forgotten:   c.forgotten.Load(),
		Duplicated:  c.duplicated.Load(),
		Delayed:     c.delayed.Load(),
		Replayed:    c.replayed.Load(),
		Injected:    c.injected.Load(),
		Overflowed:  c.overflowed.Load(),
		Failed:      c.failed.Load(),
	}
}

// delivery says how often and with which delays one packet is sent. Without
// copies the packet is dropped.
type delivery struct {
	copies int
	delays [2]time.Duration
}

// applyFaults draws the faults that affect a packet and counts them. The mutex
// must be held.
func (f *Fabric) applyFaults(d direction, caller, balancer netip.AddrPort) delivery {
	all, own := f.faults[d], f.balancerFaults[balancer]
	loss := own.LossTo
	if d == toCaller {
		loss = own.LossFrom
	}
	switch {
	case f.forgotten[caller]:
		f.counters.forgotten.Add(1)
		return delivery{}
	case own.Frozen:
		f.counters.frozen.Add(1)
		return delivery{}
	case f.chance(all.Loss) || f.chance(loss):
		f.counters.lost.Add(1)
		return delivery{}
	}
	v := delivery{copies: 1}
	if f.chance(all.Duplicate) {
		f.counters.duplicated.Add(1)
		v.copies = 2
	}
	for i := range v.copies {
		v.delays[i] = all.Delay + own.Delay
		if all.Jitter > 0 {
			v.delays[i] += time.Duration(f.rng.Int64N(int64(all.Jitter)))
		}
		if v.delays[i] > 0 {
			f.counters.delayed.Add(1)
		}
	}
	return v
}

// chance returns true with probability p. It draws no random number if p is 0, so
// that a fault that is not set does not change the draws of the others.
func (f *Fabric) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }
