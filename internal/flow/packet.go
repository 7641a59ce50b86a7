// Package flow contains the data structures for flows: the key that identifies one,
// the header of its packets, the flow table of an agent and the hints of a balancer.
// It has no sockets and no clock: times are passed in as durations since the start
// of the process.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by its two endpoints: the caller's IPv4 address and port and
// the route's, six bytes each.
type Key [12]byte

// KeyOf returns the key of the flow between a caller and a route's address.
func KeyOf(caller, route netip.AddrPort) Key {
	var k Key
	ip := caller.Addr().As4()
	copy(k[:], ip[:])
	binary.BigEndian.PutUint16(k[4:], caller.Port())
	ip = route.Addr().As4()
	copy(k[6:], ip[:])
	binary.BigEndian.PutUint16(k[10:], route.Port())
	return k
}

// Caller returns the caller's address.
func (k Key) Caller() netip.AddrPort { return addrPort(k[:6]) }

// Route returns the route's address.
func (k Key) Route() netip.AddrPort { return addrPort(k[6:]) }

func addrPort(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

// Hash returns a hash of the key. It is the same in all processes.
func (k Key) Hash() uint64 { return xxhash.Sum64(k[:]) }

// String returns the key in the form "caller>route".
func (k Key) String() string { return k.Caller().String() + ">" + k.Route().String() }

// Packet is the decoded header of a packet.
type Packet struct {
	// From and To are the source and destination addresses set by the sender.
	From, To netip.AddrPort
	// Syn, Ack, Fin and Rst are the flags of the transport header.
	Syn, Ack, Fin, Rst bool
	// Returned marks a packet that an upstream did not accept and sent back.
	Returned bool
	// Seq is the sequence number of the packet. In a caller's opening packet, Acked is
	// the number of the copy: 0 in the first, 1 in the first retransmission. In every
	// other packet, it is the next sequence number that the sender expects.
	Seq, Acked uint32
	// Size is the length of the payload in bytes.
	Size int
}

// Opens reports whether a caller's packet opens a flow.
func (p *Packet) Opens() bool { return p.Syn && !p.Ack }
