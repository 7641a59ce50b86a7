// Package encap encodes and decodes the hop header that precedes each packet
// between balancers and agents. Such packets are UDP datagrams; most carry a
// QUIC packet as payload.
package encap

import (
	"encoding/binary"
	"net/netip"

	"github.com/dchest/siphash"

	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Kind is the type of a hop packet.
type Kind uint8

// Kinds of hop packets.
const (
	// Established carries a packet of an established flow to its agent.
	Established Kind = iota + 1
	// NewFlow carries a packet that starts a flow to a candidate, which may
	// take the flow or pass it on.
	NewFlow
	// Placed carries a packet that starts a flow to the candidate that was
	// selected for it and may not pass it on.
	Placed
	// Reply carries a packet from an agent to the caller.
	Reply
	// Probe asks an agent for its state.
	Probe
	// ProbeAnswer answers a Probe. Its payload is one octet with the agent's
	// state.
	ProbeAnswer
	// Ping asks a balancer for its state.
	Ping
	// Pong answers a Ping. Its payload is one octet with the balancer's state.
	Pong

	lastKind = Pong
)

// Sizes are in octets.
const (
	headerVersion = 1
	// baseSize is the size of the fields that all kinds have: version, kind, key
	// number, service, instance, caller address and caller port.
	baseSize = 1 + 1 + 1 + 2 + 4 + 16 + 2
	// candidateSize is the size of a candidate: address, port, instance and
	// depth.
	candidateSize = 4 + 2 + 4 + 2
	// listHeaderSize is the size of the fields before the candidates: count,
	// position and the balancer's address and port.
	listHeaderSize = 1 + 1 + 6
	macSize        = 8
	// macPayloadSize is the number of payload octets that the MAC covers.
	macPayloadSize = 32

	// MaxCandidates is the greatest number of candidates for a new flow: three
	// that are compared and a fourth that is used if all three have a high
	// depth.
	MaxCandidates = 4
	// MaxSize is the size of the longest hop header.
	MaxSize = baseSize + listHeaderSize + MaxCandidates*candidateSize + macSize
)

// Depth is the load of an agent per slot in units of 1/DepthUnit. In a header, a
// value of at least DepthUnit is such a load, of an agent whose slots are all
// busy. A value below DepthUnit is a rank that orders the agents with a free slot
// by their work. MaxDepth means that the agent accepts no new flows.
type Depth uint16

// DepthUnit is the depth of an agent whose slots are all busy and whose queue
// is empty.
const DepthUnit Depth = 64

// MaxDepth is reported by an agent that accepts no new flows.
const MaxDepth Depth = 1<<16 - 1

// Candidate is an agent that a new flow may be offered to.
type Candidate struct {
	Endpoint ident.EndpointID
	// Depth is the depth that the candidate reported. It is valid only after the
	// candidate has passed the packet on.
	Depth Depth
}

// Header is a decoded hop header.
type Header struct {
	Kind     Kind
	Service  ident.ServiceTag
	Instance ident.Instance
	// Caller is the caller's address. It is zero in probes, pings and their
	// answers.
	Caller netip.AddrPort
	// Count is the number of valid Candidates. Count, Candidates, Position and
	// Balancer are valid only for NewFlow and Placed.
	Count      uint8
	Candidates [MaxCandidates]Candidate
	// Position is the index of the candidate that the packet is sent to.
	Position uint8
	// Balancer is the address of the balancer that received the packet from the
	// caller.
	Balancer netip.AddrPort
}

// hasCandidates reports whether headers of this kind contain a list of
// candidates.
func (h *Header) hasCandidates() bool { return h.Kind == NewFlow || h.Kind == Placed }

// Size returns the encoded size of h in octets.
func (h *Header) Size() int {
	n := baseSize + macSize
	if h.hasCandidates() {
		n += listHeaderSize + int(h.Count)*candidateSize
	}
	return n
}

// Put encodes h into the first h.Size() octets of b. The payload must already
// follow there, because the MAC covers its beginning.
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
	if h.hasCandidates() {
		n = h.putCandidates(b, n)
	}
	binary.BigEndian.PutUint64(b[n:], computeMAC(k, b, n))
}

// putCandidates encodes the list of candidates at b[n:] and returns the offset
// behind it.
func (h *Header) putCandidates(b []byte, n int) int {
	b[n] = h.Count
	b[n+1] = h.Position
	putAddr(b[n+2:], h.Balancer)
	n += listHeaderSize
	for i := range h.Candidates[:h.Count] {
		c := &h.Candidates[i]
		putAddr(b[n:], c.Endpoint.Addr)
		binary.BigEndian.PutUint32(b[n+6:], uint32(c.Endpoint.Instance))
		binary.BigEndian.PutUint16(b[n+10:], uint16(c.Depth))
		n += candidateSize
	}
	return n
}

// RefusalReason is the reason why a hop packet was refused.
type RefusalReason string

// Reasons why hop packets are refused. The values appear in the metrics and logs of
// agents; package relay counts refusals under names of its own.
const (
	FaultNone      RefusalReason = ""
	FaultTruncated RefusalReason = "truncated"
	FaultVersion   RefusalReason = "version"
	FaultKind      RefusalReason = "kind"
	FaultList      RefusalReason = "candidateList"
	FaultKey       RefusalReason = "unknownKey"
	FaultCheck     RefusalReason = "check"
)

// Parse decodes the hop header at the start of b into h and returns the payload,
// which aliases b. h is not valid if the packet is refused.
func (h *Header) Parse(s *connid.Set, b []byte) ([]byte, RefusalReason) {
	if len(b) < baseSize+macSize {
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
	if h.hasCandidates() {
		var f RefusalReason
		if n, f = h.parseCandidates(b, n); f != FaultNone {
			return nil, f
		}
	}
	if binary.BigEndian.Uint64(b[n:]) != computeMAC(k, b, n) {
		return nil, FaultCheck
	}
	return b[n+macSize:], FaultNone
}

// parseCandidates decodes the list of candidates at b[n:] and returns the
// offset behind it. It leaves room for the MAC.
func (h *Header) parseCandidates(b []byte, n int) (int, RefusalReason) {
	if len(b) < n+listHeaderSize+macSize {
		return 0, FaultTruncated
	}
	h.Count, h.Position = b[n], b[n+1]
	if h.Count == 0 || h.Count > MaxCandidates || h.Position >= h.Count {
		return 0, FaultList
	}
	h.Balancer = addr(b[n+2:])
	n += listHeaderSize
	if len(b) < n+int(h.Count)*candidateSize+macSize {
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

// computeMAC computes the SipHash MAC of the n octets of the header before the
// MAC and the first macPayloadSize octets of the payload behind it.
func computeMAC(k *connid.Key, b []byte, n int) uint64 {
	var covered [MaxSize - macSize + macPayloadSize]byte
	copy(covered[:], b[:n])
	end := n + copy(covered[n:n+macPayloadSize], b[n+macSize:])
	return siphash.Hash(k.HopKey[0], k.HopKey[1], covered[:end])
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
