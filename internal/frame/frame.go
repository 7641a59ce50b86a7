// Package frame encodes the datagrams that balancers and agents of datagram
// flows exchange: packets of callers on their way to an upstream, and short
// messages about them.
package frame

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Kind says what a datagram is.
type Kind uint8

// Kinds of datagrams. Those up to Refused carry a caller's packet as payload.
const (
	// Offer carries an opening packet along a list of candidates.
	Offer Kind = iota + 1
	// Placed carries an opening packet to the agent that takes it if it can.
	Placed
	// Data carries a packet to the agent that probably holds its flow.
	Data
	// Walk carries a packet along a list of agents until one holds its flow.
	Walk
	// Missed returns a packet whose flow the agent does not hold, or that no
	// agent of a walk holds.
	Missed
	// Refused returns an opening packet that no candidate takes.
	Refused
	// Taken tells a balancer which agent holds a flow; the payload is its key.
	Taken
	// Ping asks a process for a Pong.
	Ping
	// Pong answers a Ping; the payload is the instance of the process.
	Pong
	// Announce carries the entry of an agent; the answer is Entries.
	Announce
	// Digest carries the digest of a balancer's view.
	Digest
	// Entries carries entries of a view.
	Entries
	// Generation tells which configuration a balancer has in force; the payload
	// is eight octets.
	Generation
	// Rejected tells that the opening of a flow was reset; the payload is its key
	// and the age of the request in milliseconds.
	Rejected

	lastKind = Rejected
)

// ServiceID identifies a service in datagrams.
type ServiceID uint32

// IDOf derives the identifier of a service from its name, so that both ends
// agree on it without configuration.
func IDOf(n ident.ServiceName) ServiceID { return ServiceID(xxhash.Sum64String(string(n))) }

// Depth is the load of an agent in units of 1/64 of its slots.
type Depth uint16

const (
	// Full is the depth of an agent whose slots are all busy.
	Full Depth = 64
	// NoDepth is reported by an agent that takes no flow.
	NoDepth Depth = 1<<16 - 1
)

// Candidate is an agent in a list.
type Candidate struct {
	// Addr is the agent's hop address; always IPv4.
	Addr netip.AddrPort
	// Depth is what the agent reported; valid once the packet has passed it.
	Depth Depth
}

const (
	flagHinted = 1
	flagUnsure = 2
	flagTried  = 4

	version = 0xB1
	// headSize is the length of the fixed part: version, kind, position, count,
	// trials, flags, service, balancer, objective, timeout, age and priority.
	headSize      = 4 + 2 + 4 + 6 + 2 + 2 + 2 + 1
	candidateSize = 4 + 2 + 2
	// MaxCandidates is the number of agents in the longest list.
	MaxCandidates = 64
	// MaxHead is the length of the longest header in octets.
	MaxHead = headSize + MaxCandidates*candidateSize
	// MaxSize is the length of the longest datagram in octets: a caller's packet
	// has up to 1,232.
	MaxSize = MaxHead + 1300
)

// Frame is a decoded datagram.
type Frame struct {
	Kind Kind
	// Position is the index of the receiver in Candidates.
	Position int
	// Trials is how many agents without the flow may still pass the packet to
	// their upstream, because they may have lost their table.
	Trials uint8
	// Hinted is set on Data if the balancer was told that the agent holds the flow.
	Hinted bool
	// Unsure is set by an agent that may hold the flow without knowing.
	Unsure bool
	// Tried is set by an agent whose upstream has returned the packet.
	Tried   bool
	Service ServiceID
	// Balancer is the address that outcomes are sent to.
	Balancer netip.AddrPort
	// ObjectiveMillis and TimeoutMillis are the latency objective and the timeout
	// of the requests of the flow; zero if unknown. Priority is their urgency; 0
	// is the highest.
	ObjectiveMillis, TimeoutMillis uint16
	// AgeMillis is how long before this attempt the request began.
	AgeMillis  uint16
	Priority   uint8
	Candidates []Candidate
	Payload    []byte
}

// Append appends the encoded datagram to b. Addresses that are not IPv4 are
// encoded as zero.
func (f *Frame) Append(b []byte) []byte {
	var flags byte
	if f.Hinted {
		flags |= flagHinted
	}
	if f.Unsure {
		flags |= flagUnsure
	}
	if f.Tried {
		flags |= flagTried
	}
	b = append(b, version, byte(f.Kind), byte(f.Position), byte(len(f.Candidates)), f.Trials, flags)
	b = binary.BigEndian.AppendUint32(b, uint32(f.Service))
	b = appendAddr(b, f.Balancer)
	b = binary.BigEndian.AppendUint16(b, f.ObjectiveMillis)
	b = binary.BigEndian.AppendUint16(b, f.TimeoutMillis)
	b = binary.BigEndian.AppendUint16(b, f.AgeMillis)
	b = append(b, f.Priority)
	for _, c := range f.Candidates {
		b = appendAddr(b, c.Addr)
		b = binary.BigEndian.AppendUint16(b, uint16(c.Depth))
	}
	return append(b, f.Payload...)
}

// Parse decodes a datagram into f, whose list of candidates is reused. The
// payload refers to b. It reports false for a datagram of another format.
func (f *Frame) Parse(b []byte) bool {
	if len(b) < headSize || b[0] != version || b[1] == 0 || Kind(b[1]) > lastKind {
		return false
	}
	n := int(b[3])
	if n > MaxCandidates || len(b) < headSize+n*candidateSize || n > 0 && int(b[2]) >= n {
		return false
	}
	f.Kind, f.Position, f.Trials, f.Hinted = Kind(b[1]), int(b[2]), b[4], b[5]&flagHinted != 0
	f.Unsure, f.Tried = b[5]&flagUnsure != 0, b[5]&flagTried != 0
	f.Service = ServiceID(binary.BigEndian.Uint32(b[6:]))
	f.Balancer = addrOf(b[10:])
	f.ObjectiveMillis, f.TimeoutMillis = binary.BigEndian.Uint16(b[16:]), binary.BigEndian.Uint16(b[18:])
	f.AgeMillis, f.Priority = binary.BigEndian.Uint16(b[20:]), b[22]
	f.Candidates = f.Candidates[:0]
	b = b[headSize:]
	for range n {
		f.Candidates = append(f.Candidates, Candidate{addrOf(b), Depth(binary.BigEndian.Uint16(b[6:]))})
		b = b[candidateSize:]
	}
	f.Payload = b
	return true
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

func addrOf(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}
