// Package route decides where a balancer sends a packet.
package route

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Endpoint is an agent that may take new flows.
type Endpoint struct {
	ID ident.EndpointID
	// Weight is greater than zero.
	Weight float64
	// Remote is true when the endpoint is in another region than the balancer.
	Remote bool

	hash uint64
}

// Table holds the usable endpoints of each service. It is immutable.
type Table struct {
	services map[ident.ServiceTag][]Endpoint
}

// NewTable builds a table. Endpoints without a positive weight are left out.
func NewTable(services map[ident.ServiceTag][]Endpoint) *Table {
	t := Table{services: make(map[ident.ServiceTag][]Endpoint, len(services))}
	for tag, es := range services {
		var kept []Endpoint
		for _, e := range es {
			if e.Weight > 0 {
				e.hash = hashEndpoint(e.ID)
				kept = append(kept, e)
			}
		}
		t.services[tag] = kept
	}
	return &t
}

// Len returns the number of usable endpoints of a service.
func (t *Table) Len(tag ident.ServiceTag) int { return len(t.services[tag]) }

func hashEndpoint(e ident.EndpointID) uint64 {
	var b [10]byte
	ip := e.Addr.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], e.Addr.Port())
	binary.BigEndian.PutUint32(b[6:], uint32(e.Instance))
	return xxhash.Sum64(b[:])
}

// Candidates writes the candidates for the flow with the given client-chosen
// ID to h by weighted rendezvous hashing. All balancers with the same view and
// region compute the same list. Endpoints of other regions only fill the list.
func (t *Table) Candidates(tag ident.ServiceTag, id []byte, h *encap.Header) {
	flow := xxhash.Sum64(id)
	var best [encap.MaxCandidates]float64
	n := 0
	es := t.services[tag]
	for i := range es {
		s := score(flow, &es[i])
		j := n
		if n < len(best) {
			n++
		} else if s >= best[n-1] {
			continue
		} else {
			j = n - 1
		}
		for ; j > 0 && s < best[j-1]; j-- {
			best[j] = best[j-1]
			h.Candidates[j] = h.Candidates[j-1]
		}
		best[j] = s
		h.Candidates[j] = encap.Candidate{Endpoint: es[i].ID}
	}
	h.Count = uint8(n)
	h.Position = 0
}

// remotePenalty exceeds every score of a local endpoint.
const remotePenalty = 1e12

// score is smaller for a better candidate: an exponential variate with the
// endpoint's weight as its rate.
func score(flow uint64, e *Endpoint) float64 {
	x := mix(flow ^ e.hash)
	u := (float64(x>>11) + 0.5) / (1 << 53)
	s := -math.Log(u) / e.Weight
	if e.Remote {
		s += remotePenalty
	}
	return s
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
