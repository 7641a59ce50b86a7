// Package flow holds what the processes know of flows: the addresses that
// identify one, the packets that it carries, the table of an agent and the
// hints of a balancer. It has no sockets and no clock: times are passed in as
// durations since the start of the process.
package flow

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a flow by the addresses of its two ends: the caller's IPv4
// address and port and the route's, six octets each.
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

// Caller returns the caller's end.
func (k Key) Caller() netip.AddrPort { return addrPort(k[:6]) }

// Route returns the route's end.
func (k Key) Route() netip.AddrPort { return addrPort(k[6:]) }

func addrPort(b []byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:]))
}

// Hash returns a hash of the key that is equal in all processes.
func (k Key) Hash() uint64 { return xxhash.Sum64(k[:]) }

// String returns the form "caller>route".
func (k Key) String() string { return k.Caller().String() + ">" + k.Route().String() }

// Packet is the decoded header of a packet.
type Packet struct {
	// From and To are the addresses of the two ends, as the sender wrote them.
	From, To netip.AddrPort
	// Syn, Ack, Fin and Rst are the flags of the transport.
	Syn, Ack, Fin, Rst bool
	// Returned marks a packet that an upstream did not accept and gave back.
	Returned bool
	// Seq and Acked are the sequence number of the sender and the next one that
	// it expects. A repeated opening packet counts its copies in Acked.
	Seq, Acked uint32
	// Size is the length of the data in octets.
	Size int
}

// Opens reports whether a caller's packet opens a flow.
func (p *Packet) Opens() bool { return p.Syn && !p.Ack }
