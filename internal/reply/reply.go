// Package reply decides through which balancer an agent sends a packet to a
// caller. It holds no clock and is not safe for concurrent use.
package reply

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Policy says how packets of one caller are shared among the recent balancers.
type Policy uint8

// Policies.
const (
	// PerCaller sends all packets of a caller through one balancer, so that
	// they stay in order.
	PerCaller Policy = iota
	// PerPacket sends each packet through the next balancer.
	PerPacket
)

const (
	// Silence is the time after which a silent balancer leaves the set.
	Silence = time.Second
	// gapPerMember is the number of packets per balancer of the set that the
	// others deliver before one that delivered none of them leaves the set.
	gapPerMember = 16
	// maxMembers bounds the set; packets from further balancers are delivered
	// all the same.
	maxMembers = 1024
	// wanted is the number of balancers below which known ones are pinged.
	wanted = 2
	// pingInterval allows 5 pings a second.
	pingInterval = 200 * time.Millisecond
	// drainTime is how long a balancer that said that it drains stays out.
	drainTime = 10 * time.Second
)

// member is a balancer that delivered recently.
type member struct {
	addr netip.AddrPort
	last time.Time
	// count is the value of Set.count at the member's last packet.
	count uint64
	hash  uint64
}

// Set holds the balancers that delivered packets recently.
type Set struct {
	policy  Policy
	members []member
	index   map[netip.AddrPort]int
	// count is the number of packets delivered by all members.
	count uint64
	next  int
	// draining holds balancers that said so, until the given time.
	draining map[netip.AddrPort]time.Time

	known    []netip.AddrPort
	nextPing int
	pinged   time.Time
	// fallback is the balancer that delivered last, for when the
	// set is empty because no packets arrive.
	fallback netip.AddrPort
}

// Option changes a new Set.
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

// SetKnown replaces the balancers that may be pinged.
func (s *Set) SetKnown(as []netip.AddrPort) { s.known = as }

// Delivered records that a balancer delivered a packet or answered a ping.
func (s *Set) Delivered(now time.Time, from netip.AddrPort) {
	s.count++
	if i, ok := s.index[from]; ok {
		s.members[i].last, s.members[i].count = now, s.count
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
	s.members = append(s.members, member{addr: from, last: now, count: s.count, hash: hashAddr(from)})
}

// Draining records that a balancer is draining; it leaves the set at once.
func (s *Set) Draining(now time.Time, from netip.AddrPort) {
	s.draining[from] = now.Add(drainTime)
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

// gone says whether a member has been silent for too long. The packet count
// finds a failed balancer sooner under load: with n members that receive a fair
// share each, one misses 16×n packets by chance with a probability of e^-16.
func (s *Set) gone(now time.Time, m *member) bool {
	return now.Sub(m.last) >= Silence || s.count-m.count >= gapPerMember*uint64(len(s.members))
}

// prune removes the members that are gone.
func (s *Set) prune(now time.Time) {
	for i := 0; i < len(s.members); {
		if s.gone(now, &s.members[i]) {
			s.remove(i)
			continue
		}
		i++
	}
}

// Choose returns the balancer for a packet to a caller. It fails if no balancer
// has delivered a packet yet.
func (s *Set) Choose(now time.Time, caller netip.AddrPort) (netip.AddrPort, bool) {
	s.prune(now)
	if len(s.members) == 0 {
		return s.fallback, s.fallback.IsValid()
	}
	if s.policy == PerPacket {
		s.next++
		return s.members[s.next%len(s.members)].addr, true
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

// Ping returns the known balancer to ping now, if the set has too few members.
func (s *Set) Ping(now time.Time) (netip.AddrPort, bool) {
	s.prune(now)
	if len(s.members) >= wanted || len(s.known) == 0 || now.Sub(s.pinged) < pingInterval {
		return netip.AddrPort{}, false
	}
	for range s.known {
		a := s.known[s.nextPing%len(s.known)]
		s.nextPing++
		if _, ok := s.index[a]; !ok {
			s.pinged = now
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

// mix is the finalizer of MurmurHash3: it spreads every input bit over the result.
func mix(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}
