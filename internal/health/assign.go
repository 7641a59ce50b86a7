// Package health decides which endpoints are alive from probes and from the
// traffic that the data path observes. It has no clock and sends nothing:
// times are durations since the start of the process, and probes, marks and
// removals are returned as actions.
package health

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// probersPerEndpoint is the number of balancers that probe each endpoint, so
// that the failure of one leaves no endpoint without a prober.
const probersPerEndpoint = 2

// Assigned reports whether self is among the probers of an endpoint. Every
// balancer that knows the same live balancers computes the same probers.
func Assigned(self, endpoint view.Key, balancers []view.Key) bool {
	own := Rank(self, endpoint)
	better := 0
	for _, b := range balancers {
		if b == self {
			continue
		}
		if r := Rank(b, endpoint); r > own || r == own && b.String() < self.String() {
			better++
		}
	}
	return better < probersPerEndpoint
}

// Rank is the rendezvous rank of a balancer for a key; the highest is first.
func Rank(balancer, key view.Key) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], balancer.Hash())
	binary.BigEndian.PutUint64(b[8:], key.Hash())
	return xxhash.Sum64(b[:])
}
