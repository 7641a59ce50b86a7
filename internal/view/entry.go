// Package view implements the replicated membership table of endpoints and
// balancers, and the marks with which balancers report processes as down or
// refusing work. It has no clock: times are passed in as durations since the
// start of the process.
package view

import (
	"encoding/binary"
	"fmt"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// State is the lifecycle state of a process. A later state has a higher value.
type State uint8

// Lifecycle states, in the order in which a process passes through them.
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
	// Hop is the hop address of the process, at which it receives the packets
	// exchanged between balancers and agents; always IPv4.
	Hop netip.AddrPort `json:"hop"`
	// Instance is a random number that changes with each start of the process.
	Instance ident.Instance `json:"instance"`
}

// EndpointKey returns the key of an endpoint.
func EndpointKey(id ident.EndpointID) Key { return Key{Hop: id.Addr, Instance: id.Instance} }

// Endpoint returns the identifier of an endpoint's key.
func (k Key) Endpoint() ident.EndpointID { return ident.EndpointID{Addr: k.Hop, Instance: k.Instance} }

// IsBalancer reports whether the key names a balancer.
func (k Key) IsBalancer() bool { return k.Name != "" }

// String returns the key as NAME@ENDPOINT for logs and state dumps.
func (k Key) String() string { return k.Name + "@" + k.Endpoint().String() }

// Hash returns a hash of the key that is the same in every process.
func (k Key) Hash() uint64 { return xxhash.Sum64(k.appendTo(nil)) }

func (k Key) appendTo(b []byte) []byte {
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

// Entry is one version of what a process announces about itself. Only that
// process raises Seq; another process may move the entry to a later state at
// the same Seq.
type Entry struct {
	Key   Key       `json:"key"`
	State State     `json:"state"`
	Seq   ident.Seq `json:"seq"`
	// Service and Group are set for endpoints only; Group may be empty.
	Service ident.ServiceName `json:"service,omitempty"`
	Group   ident.GroupName   `json:"group,omitempty"`
	Place   ident.PlaceName   `json:"place"`
	// Stopping is set while the process of an endpoint stops as planned and its upstream runs
	// on, so that it is expected to start again.
	Stopping bool `json:"stopping,omitempty"`
	// Peer is the TCP address at which a balancer accepts peer sessions; it is
	// not set for endpoints.
	Peer netip.AddrPort `json:"peer,omitzero"`
	// Admin is the TCP address of the admin server.
	Admin netip.AddrPort `json:"admin,omitzero"`
}

// hash covers every field, so that views with equal digests have equal entries.
func (e *Entry) hash() uint64 {
	b := e.Key.appendTo(make([]byte, 0, 128))
	b = append(b, byte(e.State))
	b = binary.BigEndian.AppendUint64(b, uint64(e.Seq))
	for _, s := range []string{string(e.Service), string(e.Group), string(e.Place)} {
		b = binary.BigEndian.AppendUint16(b, uint16(len(s)))
		b = append(b, s...)
	}
	b = appendAddr(b, e.Peer)
	b = appendAddr(b, e.Admin)
	if e.Stopping {
		b = append(b, 1) // Earlier versions do not know the field.
	}
	return xxhash.Sum64(b)
}

// newerThan reports whether e replaces old. If version and state are equal but
// the contents differ, the higher hash wins, so that every process keeps the
// same entry.
func (e *Entry) newerThan(old *Entry) bool {
	if e.Seq != old.Seq {
		return e.Seq > old.Seq
	}
	if e.State != old.State {
		return e.State > old.State
	}
	return e.hash() > old.hash()
}
