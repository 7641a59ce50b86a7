// Package reply selects the balancer through which an agent sends a packet to a
// caller. Its functions take the current time as an argument.
package reply

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy says how the packets to one caller are distributed over the balancers
// of a Set.
type Policy uint8

// Policies.
const (
	// PerCaller sends all packets to a caller through one balancer, so that they
	// stay in order.
	PerCaller Policy = iota
	// PerPacket uses the balancers in turn, one packet each.
	PerPacket
)

const (
	// SilenceTimeout is the time without packets from a balancer after which it
	// leaves the set.
	SilenceTimeout = time.Second
	// maxMissedPerMember, multiplied by the number of members, is how many
	// packets in a row come from other members before a member leaves the set.
	maxMissedPerMember = 16
	// maxMembers is the greatest number of balancers in the set. Packets from
	// other balancers are still accepted.
	maxMembers = 1024
	// minMembers is the number of members below which known balancers are
	// pinged.
	minMembers = 2
	// pingInterval is the least time between two pings: 5 pings per second.
	pingInterval = 200 * time.Millisecond
	// drainExclusion is how long a balancer stays out of the set after it
	// announced that it is draining.
	drainExclusion = 10 * time.Second
)

// member is a balancer from which packets arrived recently.
type member struct {
	addr       netip.AddrPort
	lastPacket time.Time // time of the last packet
	// count is the value of Set.count at the member's last packet.
	count uint64
	hash  uint64
}

// Set holds the balancers from which packets arrived recently. It is not safe
// for concurrent use.
type Set struct {
	policy  Policy
	members []member
	index   map[netip.AddrPort]int
	// count is the number of calls of MarkReachable.
	count      uint64
	nextMember int // position in members, for PerPacket
	// draining holds the balancers that announced that they are draining, and
	// when they may enter the set again.
	draining map[netip.AddrPort]time.Time

	pingTargets    []netip.AddrPort // balancers that may be pinged
	nextPingTarget int              // position in pingTargets
	lastPing       time.Time        // time of the last ping
	// fallback is the balancer from which the last packet arrived, not counting
	// draining ones if there is another. It is used while the set is empty.
	fallback netip.AddrPort
}

// Option configures a new Set.
type Option func(*Set)

// WithPolicy selects the policy; the default is PerCaller.
func WithPolicy(p Policy) Option { return func(s *Set) { s.policy = p } }

// New returns an empty set.
func New(opts ...Option) *Set {
	s := &Set{index: map[netip.AddrPort]int{}, draining: map[netip.AddrPort]time.Time{}}
	for _, o := range opts {
		o(s)
	}
	return s
}

// SetPingTargets replaces the balancers that may be pinged.
func (s *Set) SetPingTargets(as []netip.AddrPort) { s.pingTargets = as }

// MarkReachable records that a packet or the answer to a ping arrived from a
// balancer.
func (s *Set) MarkReachable(now time.Time, from netip.AddrPort) {
	s.count++
	if i, ok := s.index[from]; ok {
		s.members[i].lastPacket, s.members[i].count = now, s.count
		s.fallback = from
		return
	}
	if until, ok := s.draining[from]; ok && now.Before(until) {
		if !s.fallback.IsValid() {
			s.fallback = from
		}
		return
	}
	delete(s.draining, from)
	s.fallback = from
	if len(s.members) >= maxMembers {
		return
	}
	s.index[from] = len(s.members)
	s.members = append(s.members, member{addr: from, lastPacket: now, count: s.count, hash: hashAddr(from)})
}

// Draining records that a balancer is draining and removes it from the set.
func (s *Set) Draining(now time.Time, from netip.AddrPort) {
	s.draining[from] = now.Add(drainExclusion)
	if i, ok := s.index[from]; ok {
		s.remove(i)
	}
	if s.fallback == from && len(s.members) > 0 {
		s.fallback = s.members[0].addr
	}
	for a, until := range s.draining {
		if !now.Before(until) {
			delete(s.draining, a)
		}
	}
}

func (s *Set) remove(i int) {
	last := len(s.members) - 1
	delete(s.index, s.members[i].addr)
	if i != last {
		s.members[i] = s.members[last]
		s.index[s.members[i].addr] = i
	}
	s.members = s.members[:last]
}

// silent reports whether a member must leave the set because no packets arrive
// from it. Under load, the packet count detects a failed balancer earlier than
// the time: with n members that get equal shares of the packets, a working one
// misses 16×n packets in a row with a probability of about e^-16.
func (s *Set) silent(now time.Time, m *member) bool {
	return now.Sub(m.lastPacket) >= SilenceTimeout || s.count-m.count >= maxMissedPerMember*uint64(len(s.members))
}

// prune removes the members from which no packets arrive any more.
func (s *Set) prune(now time.Time) {
	for i := 0; i < len(s.members); {
		if s.silent(now, &s.members[i]) {
			s.remove(i)
			continue
		}
		i++
	}
}

// Choose returns the balancer for a packet to a caller. It returns false if no
// packet has arrived from any balancer yet.
func (s *Set) Choose(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	s.prune(now)
	if len(s.members) == 0 {
		return s.fallback, s.fallback.IsValid()
	}
	if s.policy == PerPacket {
		s.nextMember++
		return s.members[s.nextMember%len(s.members)].addr, true
	}
	h := hashAddr(caller)
	best, top := 0, uint64(0)
	for i := range s.members {
		if v := mix(s.members[i].hash ^ h); v >= top {
			best, top = i, v
		}
	}
	return s.members[best].addr, true
}

// Ping returns a known balancer to ping, if the set has too few members and
// pingInterval has passed since the last ping.
func (s *Set) Ping(now time.Time) (netip.AddrPort, bool) {
	s.prune(now)
	if len(s.members) >= minMembers || len(s.pingTargets) == 0 || now.Sub(s.lastPing) < pingInterval {
		return netip.AddrPort{}, false
	}
	for range s.pingTargets {
		a := s.pingTargets[s.nextPingTarget%len(s.pingTargets)]
		s.nextPingTarget++
		if _, ok := s.index[a]; !ok {
			s.lastPing = now
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// Members returns the balancers of the set.
func (s *Set) Members() []netip.AddrPort {
	as := make([]netip.AddrPort, len(s.members))
	for i := range s.members {
		as[i] = s.members[i].addr
	}
	return as
}

func hashAddr(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}

// mix is the finalizer of MurmurHash3. Each input bit affects all output bits.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
