// Package route ranks the endpoints of a service for a new flow by weighted
// rendezvous hashing.
package route

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Endpoint is an agent that may get new flows.
type Endpoint struct {
	ID ident.EndpointID
	// Weight is the endpoint's share of the new flows relative to the others.
	// An endpoint gets flows only if it is greater than zero and finite.
	Weight float64
	// Remote is true if the endpoint is not known to be in the balancer's region.
	// Remote endpoints are ranked after the local ones.
	Remote bool
}

// scoredEndpoint is an endpoint with precomputed values for scoring.
type scoredEndpoint struct {
	id ident.EndpointID
	// hash is the hash of the identifier, which is mixed with that of the flow.
	hash uint64
	// meanScore is the mean of the endpoint's scores, the reciprocal of its
	// weight.
	meanScore float64
}

// serviceEndpoints holds the endpoints of a service that may get new flows. Both lists are
// sorted by identifier, so that the ranking does not depend on the order of the
// input.
type serviceEndpoints struct {
	local, remote []scoredEndpoint
}

// Table holds the endpoints of each service that may get new flows. It is
// immutable.
type Table struct {
	services map[ident.ServiceTag]serviceEndpoints
	// refused holds the services whose callers are told that a flow is refused if
	// there is no endpoint for it.
	refused map[ident.ServiceTag]bool
}

// Refuse makes the table answer Refuses for the services that it holds no endpoint
// of, and returns the table. It is called before the table is shared.
func (t *Table) Refuse(tags ...ident.ServiceTag) *Table {
	t.refused = make(map[ident.ServiceTag]bool, len(tags))
	for _, tag := range tags {
		t.refused[tag] = t.Len(tag) == 0
	}
	return t
}

// Refuses reports whether the new flows of a service are to be refused.
func (t *Table) Refuses(tag ident.ServiceTag) bool { return t.refused[tag] }

// NewTable builds a table. It leaves out endpoints without a positive, finite
// weight, endpoints whose address is not IPv4, and duplicates.
func NewTable(services map[ident.ServiceTag][]Endpoint) *Table {
	t := Table{services: make(map[ident.ServiceTag]serviceEndpoints, len(services))}
	for tag, es := range services {
		t.services[tag] = newServiceEndpoints(slices.Clone(es))
	}
	return &t
}

func newServiceEndpoints(es []Endpoint) serviceEndpoints {
	slices.SortFunc(es, compareEndpoints)
	es = slices.CompactFunc(es, func(a, b Endpoint) bool { return a.ID == b.ID })
	var s serviceEndpoints
	for _, e := range es {
		if !(e.Weight > 0) || math.IsInf(e.Weight, 1) || !e.ID.Addr.Addr().Is4() {
			continue
		}
		r := scoredEndpoint{id: e.ID, hash: hashEndpoint(e.ID), meanScore: 1 / e.Weight}
		if e.Remote {
			s.remote = append(s.remote, r)
		} else {
			s.local = append(s.local, r)
		}
	}
	return s
}

func compareEndpoints(a, b Endpoint) int {
	return cmp.Or(
		a.ID.Addr.Compare(b.ID.Addr),
		cmp.Compare(a.ID.Instance, b.ID.Instance),
		cmp.Compare(a.Weight, b.Weight),
	)
}

// Len returns the number of endpoints that the table holds for a service.
func (t *Table) Len(tag ident.ServiceTag) int {
	s := t.services[tag]
	return len(s.local) + len(s.remote)
}

func hashEndpoint(e ident.EndpointID) uint64 {
	var b [10]byte
	ip := e.Addr.Addr().As4()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[4:], e.Addr.Port())
	binary.BigEndian.PutUint32(b[6:], uint32(e.Instance))
	return xxhash.Sum64(b[:])
}

// Candidates writes the candidates for the flow with the given client-chosen
// connection ID to h. All balancers with the same view and region compute the
// same list. Endpoints of other regions are used only if the balancer's region
// has too few to fill the list.
func (t *Table) Candidates(tag ident.ServiceTag, id []byte, h *encap.Header) {
	var ids [encap.MaxCandidates]ident.EndpointID
	s := t.services[tag]
	n := s.rank(xxhash.Sum64(id), len(ids), ids[:])
	for i, e := range ids[:n] {
		h.Candidates[i] = encap.Candidate{Endpoint: e}
	}
	h.Position = 0
	h.Count = uint8(n)
}

// rank writes the endpoints to out in the order of preference for a flow: at
// most maxLocal local ones, then remote ones. It returns their number.
func (s *serviceEndpoints) rank(flow uint64, maxLocal int, out []ident.EndpointID) int {
	n := rankEndpoints(flow, s.local, out[:min(maxLocal, len(out))])
	if n < len(out) {
		n += rankEndpoints(flow, s.remote, out[n:])
	}
	return n
}

// EndpointSet holds the endpoints of one service that may get new flows. It is
// immutable.
type EndpointSet struct{ serviceEndpoints }

// NewGroup builds the EndpointSet of one service. Like NewTable, it leaves out
// endpoints without a positive, finite weight, endpoints whose address is not
// IPv4, and duplicates.
func NewGroup(es []Endpoint) *EndpointSet { return &EndpointSet{newServiceEndpoints(slices.Clone(es))} }

// Len returns the number of endpoints in the set.
func (s *EndpointSet) Len() int { return len(s.local) + len(s.remote) }

// Rank writes the endpoints to out in the order of preference for the flow with
// the given hash: at most maxLocal local ones, then remote ones. It writes at
// most MaxRanked endpoints and returns their number.
func (s *EndpointSet) Rank(flow uint64, maxLocal int, out []ident.EndpointID) int {
	return s.rank(flow, maxLocal, out[:min(len(out), MaxRanked)])
}

// MaxRanked is the greatest number of endpoints that Rank writes.
const MaxRanked = 64

// rankEndpoints writes the endpoints with the smallest scores to out in
// ascending order and returns their number. A score is an exponentially
// distributed value whose rate is the endpoint's weight, so the probability
// that an endpoint has the smallest score is proportional to its weight.
func rankEndpoints(flow uint64, es []scoredEndpoint, out []ident.EndpointID) int {
	var best [MaxRanked]float64
	n := 0
	for i := range es {
		e := &es[i]
		u := (float64(mix(flow^e.hash)>>11) + 0.5) / (1 << 53)
		j := n
		if n == len(out) {
			if n == 0 {
				return 0
			}
			j = n - 1
			// 1-u is a lower bound of -ln u, which avoids computing the
			// logarithm for most endpoints.
			if (1-u)*e.meanScore >= best[j] {
				continue
			}
		}
		s := -math.Log(u) * e.meanScore
		if n < len(out) {
			n++
		} else if s >= best[j] {
			continue
		}
		for ; j > 0 && s < best[j-1]; j-- {
			best[j], out[j] = best[j-1], out[j-1]
		}
		best[j], out[j] = s, e.id
	}
	return n
}

// mix is the finalizer of MurmurHash3. Each input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
