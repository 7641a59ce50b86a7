// Package ident defines types for the identifiers and versions that balancers and
// agents exchange.
package ident

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// ServiceName is the name of a declared service.
type ServiceName string

// PlaceName is the name of a place, an availability zone.
type PlaceName string

// RegionName is the name of a region, a group of places with low latency between them.
type RegionName string

// GroupName is the name of a group of upstreams of one service that share a weight.
type GroupName string

// Generation is the number of an accepted configuration; a higher one replaces a lower
// one.
type Generation uint64

// Seq is the sequence number of a version of a view entry. Only the owner of the entry
// increments it.
type Seq uint64

// ServiceTag identifies a service in packets. It is never zero.
type ServiceTag uint16

// TagOf derives the tag of a service from its name, so that balancers and agents agree
// on it without configuration.
func TagOf(n ServiceName) ServiceTag {
	h := xxhash.Sum64String(string(n))
	t := ServiceTag(h ^ h>>16 ^ h>>32 ^ h>>48)
	if t == 0 {
		return 1
	}
	return t
}

// instanceBits is the number of bits of an Instance that a connection ID carries.
const instanceBits = 24

// Instance distinguishes processes that successively use the same address. Only its
// low 24 bits are used, and it is never zero.
type Instance uint32

// NewInstance returns a random instance number.
func NewInstance() Instance {
	var b [4]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	i := Instance(binary.BigEndian.Uint32(b[:]) & (1<<instanceBits - 1))
	if i == 0 {
		return 1
	}
	return i
}

// EndpointID identifies one agent process, from its start to its end.
type EndpointID struct {
	// Addr is the agent's hop address; always IPv4.
	Addr netip.AddrPort
	// Instance is chosen at random at each start of the agent.
	Instance Instance
}

// String returns the form "address:port/instance".
func (e EndpointID) String() string {
	return fmt.Sprintf("%s/%06x", e.Addr, uint32(e.Instance))
}

// ParseEndpointID parses an endpoint ID in the form that String returns.
func ParseEndpointID(s string) (EndpointID, error) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] != '/' {
			continue
		}
		a, err := netip.ParseAddrPort(s[:i])
		if err != nil {
			return EndpointID{}, fmt.Errorf("endpoint ID %q: %w", s, err)
		}
		var n uint32
		if _, err := fmt.Sscanf(s[i+1:], "%x", &n); err != nil {
			return EndpointID{}, fmt.Errorf("endpoint ID %q: instance: %w", s, err)
		}
		return EndpointID{Addr: a, Instance: Instance(n)}, nil
	}
	return EndpointID{}, fmt.Errorf("endpoint ID %q has no instance", s)
}
