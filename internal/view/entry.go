// Package view holds the versioned view of endpoints and balancers that the
// processes of the system exchange, and the down marks on its entries. It has
// no clock: times are passed in as durations since the start of the process.
package view

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// State is the state of an entry. A later state has a higher value.
type State uint8

// States of an entry.
const (
	Serving State = iota + 1
	Draining
	Gone
)

// String returns the lower-case name of the state.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	case Gone:
		return "gone"
	}
	return fmt.Sprintf("state%d", uint8(s))
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(b []byte) error {
	for v := Serving; v <= Gone; v++ {
		if v.String() == string(b) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("state %q is not serving, draining or gone", b)
}

// Key identifies one run of an endpoint or of a balancer.
type Key struct {
	// Name is the balancer's name; empty for an endpoint.
	Name string `json:"name,omitempty"`
	// Hop is the hop address of the process; always IPv4.
	Hop netip.AddrPort `json:"hop"`
	// Instance is drawn at each start of the process.
	Instance ident.Instance `json:"instance"`
}

// EndpointKey returns the key of an endpoint.
func EndpointKey(id ident.EndpointID) Key { return Key{Hop: id.Addr, Instance: id.Instance} }

// Endpoint returns the identifier of an endpoint's key.
func (k Key) Endpoint() ident.EndpointID { return ident.EndpointID{Addr: k.Hop, Instance: k.Instance} }

// IsBalancer reports whether the key names a balancer.
func (k Key) IsBalancer() bool { return k.Name != "" }

// String returns a form for logs.
func (k Key) String() string { return k.Name + "@" + k.Endpoint().String() }

// Hash returns a hash of the key that is equal in all processes.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.append(nil)) }

func (k Key) append(b []byte) []byte {
	b = append(b, k.Name...)
	b = append(b, 0)
	b = appendAddr(b, k.Hop)
	return binary.BigEndian.AppendUint32(b, uint32(k.Instance))
}

func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().As16()
	b = append(b, ip[:]...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// Entry is one version of an entry. Only the owner raises Seq; another process
// may move an entry to a later state at the same Seq.
type Entry struct {
	Key   Key       `json:"key"`
	State State     `json:"state"`
	Seq   ident.Seq `json:"seq"`
	// Service and Group are set for endpoints only; Group may be empty.
	Service ident.ServiceName `json:"service,omitempty"`
	Group   ident.GroupName   `json:"group,omitempty"`
	Place   ident.PlaceName   `json:"place"`
	// Peer is the TCP address of a balancer for sessions.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Admin is the TCP address of the admin server.
	Admin netip.AddrPort `json:"admin,omitzero"`
}

// hash covers every field, so that equal views have equal digests.
func (e *Entry) hash() uint64 {
	b := e.Key.append(make([]byte, 0, 128))
	b = append(b, byte(e.State))
	b = binary.BigEndian.AppendUint64(b, uint64(e.Seq))
	for _, s := range []string{string(e.Service), string(e.Group), string(e.Place)} {
		b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
		b = append(b, s...)
	}
	b = appendAddr(b, e.Peer)
	b = appendAddr(b, e.Admin)
	return xxhash.Sum64(b)
}

// newer reports whether e replaces old. The hash decides between different
// contents of one version, so that every process keeps the same one.
func (e *Entry) newer(old *Entry) bool {
	if e.Seq != old.Seq {
		return e.Seq > old.Seq
	}
	if e.State != old.State {
		return e.State > old.State
	}
	return e.hash() > old.hash()
}
