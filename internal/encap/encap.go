// Package encap encodes the hop header that balancers and agents put in front
// of QUIC packets on the UDP hop between them.
package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Kind says what a hop packet is.
type Kind uint8

// Kinds of hop packets.
const (
	// Established carries a packet of an established flow to its agent.
	Established Kind = iota + 1
	// NewFlow carries a packet that starts a flow; the receiver decides whether to take it.
	NewFlow
	// Placed carries a packet that starts a flow to the agent that must take it.
	Placed
	// Reply carries a packet from an agent to the caller.
	Reply
	// Probe asks an agent whether it serves.
	Probe
	// ProbeAnswer answers a Probe; its payload is one State octet.
	ProbeAnswer
	// Ping asks a balancer whether it forwards replies.
	Ping
	// Pong answers a Ping; its payload is one State octet.
	Pong

	lastKind = Pong
)

const (
	headerVersion = 1
	baseSize      = 1 + 1 + 1 + 2 + 4 + 16 + 2
	candidateSize = 4 + 2 + 4 + 2
	listFixedSize = 1 + 1 + 6
	checkSize     = 8
	// checkedPayload is the number of payload octets that the check covers.
	checkedPayload = 32

	// MaxCandidates is the number of candidates of a new flow: the three of the
	// placement rule and one for the wider step when all three are deep.
	MaxCandidates = 4
	// MaxSize is the length of the longest hop header in octets.
	MaxSize = baseSize + listFixedSize + MaxCandidates*candidateSize + checkSize
)

// Depth is the load of an agent per slot, in units of 1/64. In a header, an
// agent with a free slot reports its rank among such agents instead, which is
// less than DepthUnit.
type Depth uint16

// DepthUnit is the depth of an agent whose slots are all busy and whose queue is empty.
const DepthUnit Depth = 64

// MaxDepth is reported by an agent that takes no flow.
const MaxDepth Depth = 1<<16 - 1

// Candidate is an agent that may take a new flow.
type Candidate struct {
	Endpoint ident.EndpointID
	// Depth is what the candidate reported, valid once the packet has passed it.
	Depth Depth
}

// Header is a decoded hop header.
type Header struct {
	Kind     Kind
	Service  ident.ServiceTag
	Instance ident.Instance
	// Caller is the caller's address; zero in probes and pings.
	Caller netip.AddrPort
	// Count is the number of valid Candidates; only NewFlow and Placed have any.
	Count      uint8
	Candidates [MaxCandidates]Candidate
	// Position is the index of the candidate that receives the packet.
	Position uint8
	// Balancer is the balancer that received the packet from the fabric.
	Balancer netip.AddrPort
}

func (h *Header) hasList() bool { return h.Kind == NewFlow || h.Kind == Placed }

// Size returns the encoded length of h in octets.
func (h *Header) Size() int {
	n := baseSize + checkSize
	if h.hasList() {
		n += listFixedSize + int(h.Count)*candidateSize
	}
	return n
}

// Put encodes h into b, which begins with h.Size() octets for the header and
// continues with the payload.
func (h *Header) Put(k *connid.Key, b []byte) {
	b[0] = headerVersion
	b[1] = byte(h.Kind)
	b[2] = k.Number
	binary.BigEndian.PutUint16(b[3:], uint16(h.Service))
	binary.BigEndian.PutUint32(b[5:], uint32(h.Instance))
	ip := h.Caller.Addr().As16()
	copy(b[9:], ip[:])
	binary.BigEndian.PutUint16(b[25:], h.Caller.Port())
	n := baseSize
	if h.hasList() {
		n = h.putList(b, n)
	}
	binary.BigEndian.PutUint64(b[n:], check(k, b, n))
}

func (h *Header) putList(b []byte, n int) int {
	b[n] = h.Count
	b[n+1] = h.Position
	putAddr(b[n+2:], h.Balancer)
	n += listFixedSize
	for i := range h.Candidates[:h.Count] {
		c := &h.Candidates[i]
		putAddr(b[n:], c.Endpoint.Addr)
		binary.BigEndian.PutUint32(b[n+6:], uint32(c.Endpoint.Instance))
		binary.BigEndian.PutUint16(b[n+10:], uint16(c.Depth))
		n += candidateSize
	}
	return n
}

// Fault says why a hop packet was refused.
type Fault string

// Faults of hop packets, used as metric and log values.
const (
	FaultNone      Fault = ""
	FaultTruncated Fault = "truncated"
	FaultVersion   Fault = "version"
	FaultKind      Fault = "kind"
	FaultList      Fault = "candidateList"
	FaultKey       Fault = "unknownKey"
	FaultCheck     Fault = "check"
)

// Parse decodes the hop header of b into h and returns the payload, which aliases b.
func (h *Header) Parse(s *connid.Set, b []byte) ([]byte, Fault) {
	if len(b) < baseSize+checkSize {
		return nil, FaultTruncated
	}
	if b[0] != headerVersion {
		return nil, FaultVersion
	}
	h.Kind = Kind(b[1])
	if h.Kind == 0 || h.Kind > lastKind {
		return nil, FaultKind
	}
	k := s.Key(b[2])
	if k == nil {
		return nil, FaultKey
	}
	h.Service = ident.ServiceTag(binary.BigEndian.Uint16(b[3:]))
	h.Instance = ident.Instance(binary.BigEndian.Uint32(b[5:]))
	h.Caller = netip.AddrPortFrom(netip.AddrFrom16([16]byte(b[9:25])).Unmap(), binary.BigEndian.Uint16(b[25:]))
	h.Count = 0
	n := baseSize
	if h.hasList() {
		var f Fault
		if n, f = h.parseList(b, n); f != FaultNone {
			return nil, f
		}
	}
	if binary.BigEndian.Uint64(b[n:]) != check(k, b, n) {
		return nil, FaultCheck
	}
	return b[n+checkSize:], FaultNone
}

func (h *Header) parseList(b []byte, n int) (int, Fault) {
	if len(b) < n+listFixedSize+checkSize {
		return 0, FaultTruncated
	}
	h.Count, h.Position = b[n], b[n+1]
	if h.Count == 0 || h.Count > MaxCandidates || h.Position >= h.Count {
		return 0, FaultList
	}
	h.Balancer = addr(b[n+2:])
	n += listFixedSize
	if len(b) < n+int(h.Count)*candidateSize+checkSize {
		return 0, FaultTruncated
	}
	for i := range h.Candidates[:h.Count] {
		h.Candidates[i] = Candidate{
			Endpoint: ident.EndpointID{Addr: addr(b[n:]), Instance: ident.Instance(binary.BigEndian.Uint32(b[n+6:]))},
			Depth:    Depth(binary.BigEndian.Uint16(b[n+10:])),
		}
		n += candidateSize
	}
	return n, FaultNone
}

// check computes the keyed check over the n octets of the header and the
// first octets of the payload behind the check.
func check(k *connid.Key, b []byte, n int) uint64 {
	var checked [MaxSize - checkSize + checkedPayload]byte
	copy(checked[:], b[:n])
	end := n + copy(checked[n:n+checkedPayload], b[n+checkSize:])
	return siphash.Hash(k.HopKey[0], k.HopKey[1], checked[:end])
}

func putAddr(b []byte, a netip.AddrPort) {
	var ip [4]byte
	if a.Addr().Is4() {
		ip = a.Addr().As4()
	}
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], a.Port())
}

func addr(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:]))
}
