// Package health decides which endpoints are alive from probes and from the
// traffic that the data path observes. It has no clock and sends nothing:
// times are durations since the start of the process, and probes, marks and
// removals are returned as actions.
package health

import "math/bits"

// probersPerEndpoint is the number of balancers that probe each endpoint, so
// that the failure of one leaves no endpoint without a prober.
const probersPerEndpoint = 2

// Assigned reports whether self is among the probers of an endpoint. The
// arguments are hashes of keys; balancers holds those of all live balancers.
// Every balancer that knows the same ones computes the same probers.
func Assigned(self, endpoint uint64, balancers []uint64) bool {
	own := Rank(self, endpoint)
	better := 0
	for _, b := range balancers {
		if b != self && Rank(b, endpoint) > own {
			better++
		}
	}
	return better < probersPerEndpoint
}

// Rank is the rendezvous rank of a balancer for a key, both given as hashes;
// the highest is first. At the target size there are 4,500 x 440 pairs, so it
// is the finalizer of MurmurHash3 and not a hash over the keys.
func Rank(balancer, key uint64) uint64 {
	x := balancer ^ bits.RotateLeft64(key, 32)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
