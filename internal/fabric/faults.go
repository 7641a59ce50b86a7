package fabric

import (
	"net/netip"
	"sync/atomic"
	"time"
)

type direction int

const (
	toBalancer direction = iota
	toCaller
	directions
)

// Faults are the faults of one direction, between callers and all balancers.
type Faults struct {
	// Loss and Duplicate are probabilities for each packet, from 0 to 1.
	Loss, Duplicate float64
	// Delay is added to each packet; Jitter adds up to as much again, evenly
	// distributed and drawn for each packet, so packets overtake each other.
	Delay, Jitter time.Duration
}

// BalancerFaults are the faults between the fabric and one balancer.
type BalancerFaults struct {
	// LossTo and LossFrom are probabilities for each packet, from 0 to 1.
	LossTo, LossFrom float64
	// Delay is added to each packet in each direction.
	Delay time.Duration
	// Frozen loses all packets of both directions. The fabric still sprays to
	// the balancer.
	Frozen bool
}

// SetFaults replaces the faults towards balancers and towards callers.
func (f *Fabric) SetFaults(towardsBalancers, towardsCallers Faults) {
	f.mu.Lock()
	f.faults = [directions]Faults{toBalancer: towardsBalancers, toCaller: towardsCallers}
	f.mu.Unlock()
}

// SetBalancerFaults replaces the faults of the balancer at the given address.
func (f *Fabric) SetBalancerFaults(balancer netip.AddrPort, b BalancerFaults) {
	f.mu.Lock()
	f.members[balancer] = b
	f.mu.Unlock()
}

// ForgetCaller drops all further packets from and to a caller address, as a
// device on the path does after it lost its state. New addresses work. There
// is no way back, because the device has none for an open flow.
func (f *Fabric) ForgetCaller(caller netip.AddrPort) {
	f.mu.Lock()
	f.forgotten[caller] = true
	f.mu.Unlock()
}

// Counters count packets since the start.
type Counters struct {
	// ToBalancers and ToCallers count the packets sent, duplicates included.
	ToBalancers uint64 `json:"toBalancers"`
	ToCallers   uint64 `json:"toCallers"`
	// Lost counts packets that a loss probability took.
	Lost uint64 `json:"lost"`
	// Frozen counts packets of frozen balancers.
	Frozen uint64 `json:"frozen"`
	// Forgotten counts packets of forgotten caller addresses.
	Forgotten  uint64 `json:"forgotten"`
	Duplicated uint64 `json:"duplicated"`
	Delayed    uint64 `json:"delayed"`
	Replayed   uint64 `json:"replayed"`
	Injected   uint64 `json:"injected"`
	// Overflowed counts packets that the full delay queue dropped.
	Overflowed uint64 `json:"overflowed"`
	// Failed counts packets dropped because no socket could be opened.
	Failed uint64 `json:"failed"`
}

type counters struct {
	sent                                            [directions]atomic.Uint64
	lost, frozen, forgotten, duplicated             atomic.Uint64
	delayed, replayed, injected, overflowed, failed atomic.Uint64
}

// Counters returns the counters so far.
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

// verdict says what becomes of one packet.
type verdict struct {
	copies int
	delays [2]time.Duration
}

// judge draws the fate of a packet; the caller of judge holds the mutex.
func (f *Fabric) judge(d direction, caller, balancer netip.AddrPort) verdict {
	all, one := f.faults[d], f.members[balancer]
	loss := one.LossTo
	if d == toCaller {
		loss = one.LossFrom
	}
	switch {
	case f.forgotten[caller]:
		f.counters.forgotten.Add(1)
		return verdict{}
	case one.Frozen:
		f.counters.frozen.Add(1)
		return verdict{}
	case f.chance(all.Loss) || f.chance(loss):
		f.counters.lost.Add(1)
		return verdict{}
	}
	v := verdict{copies: 1}
	if f.chance(all.Duplicate) {
		f.counters.duplicated.Add(1)
		v.copies = 2
	}
	for i := range v.copies {
		v.delays[i] = all.Delay + one.Delay
		if all.Jitter > 0 {
			v.delays[i] += time.Duration(f.rng.Int64N(int64(all.Jitter)))
		}
		if v.delays[i] > 0 {
			f.counters.delayed.Add(1)
		}
	}
	return v
}

// chance draws nothing when the probability is 0, so a fault that is not set
// does not change the draws of the others.
func (f *Fabric) chance(p float64) bool { return p > 0 && f.rng.Float64() < p }
