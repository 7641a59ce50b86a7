// Package ident defines the named types for identifiers and versions that the
// processes of the system share.
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

// RegionName is the name of a group of places with short paths between them.
type RegionName string

// GroupName labels a set of upstreams of one service that share a weight.
type GroupName string

// Generation orders accepted configurations; a higher one replaces a lower one.
type Generation uint64

// Seq orders the versions of one view entry. Only the owner of the entry raises it.
type Seq uint64

// ServiceTag identifies a service in packets. It is never zero.
type ServiceTag uint16

// TagOf derives the tag of a service from its name, so that both ends of the
// hop agree on it without configuration.
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

// Instance distinguishes the processes that use one address one after another.
// Only its low 24 bits are used, and it is never zero.
type Instance uint32

// NewInstance draws a random instance number.
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

// EndpointID identifies one run of an agent.
type EndpointID struct {
	// Addr is the agent's hop address; always IPv4.
	Addr netip.AddrPort
	// Instance is drawn at each start of the agent.
	Instance Instance
}

// String returns the form "address:port/instance".
func (e EndpointID) String() string {
	return fmt.Sprintf("%s/%06x", e.Addr, uint32(e.Instance))
}

// ParseEndpointID parses the form that String returns.
func ParseEndpointID(s string) (EndpointID, error) {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] != '/' {
			continue
		}
		a, err := netip.ParseAddrPort(s[:i])
		if err != nil {
			return EndpointID{}, fmt.Errorf("endpoint id %q: %w", s, err)
		}
		var n uint32
		if _, err := fmt.Sscanf(s[i+1:], "%x", &n); err != nil {
			return EndpointID{}, fmt.Errorf("endpoint id %q: instance: %w", s, err)
		}
		return EndpointID{Addr: a, Instance: Instance(n)}, nil
	}
	return EndpointID{}, fmt.Errorf("endpoint id %q has no instance", s)
}
