// Package route decides where a balancer sends a packet.
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

// Endpoint is an agent that may take new flows.
type Endpoint struct {
	ID ident.EndpointID
	// Weight is greater than zero.
	Weight float64
	// Remote is true when the endpoint is in another region than the balancer.
	Remote bool
}

// ranked is an endpoint prepared for scoring.
type ranked struct {
	id ident.EndpointID
	// hash is the endpoint's part of the score.
	hash uint64
	// mean is the reciprocal of the weight: the mean of the scores.
	mean float64
}

// service holds the usable endpoints of a service, each list in the order of
// the identifiers, so that candidates do not depend on the order of the input.
type service struct {
	local, remote []ranked
}

// Table holds the usable endpoints of each service. It is immutable.
type Table struct {
	services map[ident.ServiceTag]service
}

// NewTable builds a table. It leaves out endpoints without a positive, finite
// weight, those whose address is not IPv4, and repetitions.
func NewTable(services map[ident.ServiceTag][]Endpoint) *Table {
	t := Table{services: make(map[ident.ServiceTag]service, len(services))}
	for tag, es := range services {
		t.services[tag] = newService(slices.Clone(es))
	}
	return &t
}

func newService(es []Endpoint) service {
	slices.SortFunc(es, compare)
	es = slices.CompactFunc(es, func(a, b Endpoint) bool { return a.ID == b.ID })
	var s service
	for _, e := range es {
		if !(e.Weight > 0) || math.IsInf(e.Weight, 1) || !e.ID.Addr.Addr().Is4() {
			continue
		}
		r := ranked{id: e.ID, hash: hashEndpoint(e.ID), mean: 1 / e.Weight}
		if e.Remote {
			s.remote = append(s.remote, r)
		} else {
			s.local = append(s.local, r)
		}
	}
	return s
}

func compare(a, b Endpoint) int {
	return cmp.Or(
		a.ID.Addr.Compare(b.ID.Addr),
		cmp.Compare(a.ID.Instance, b.ID.Instance),
		cmp.Compare(a.Weight, b.Weight),
	)
}

// Len returns the number of usable endpoints of a service.
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
// ID to h by weighted rendezvous hashing. All balancers with the same view and
// region compute the same list. Endpoints of other regions only fill the list.
func (t *Table) Candidates(tag ident.ServiceTag, id []byte, h *encap.Header) {
	var ids [encap.MaxCandidates]ident.EndpointID
	s := t.services[tag]
	n := s.order(xxhash.Sum64(id), len(ids), ids[:])
	for i, e := range ids[:n] {
		h.Candidates[i] = encap.Candidate{Endpoint: e}
	}
	h.Position = 0
	h.Count = uint8(n)
}

// order writes the endpoints in the order in which they are preferred for a
// flow: at most near local ones, then remote ones. It returns their number.
func (s *service) order(flow uint64, near int, out []ident.EndpointID) int {
	n := rank(flow, s.local, out[:min(near, len(out))])
	if n < len(out) {
		n += rank(flow, s.remote, out[n:])
	}
	return n
}

// Group is the usable endpoints of one service. It is immutable.
type Group struct{ service }

// NewGroup builds a group and leaves out the same endpoints as NewTable.
func NewGroup(es []Endpoint) *Group { return &Group{newService(slices.Clone(es))} }

// Len returns the number of usable endpoints.
func (g *Group) Len() int { return len(g.local) + len(g.remote) }

// Order writes the endpoints to out in the order of preference for the flow
// with the given hash and returns their number: at most near endpoints that are
// not remote, then remote ones. It writes at most MaxOrder.
func (g *Group) Order(flow uint64, near int, out []ident.EndpointID) int {
	return g.order(flow, near, out[:min(len(out), MaxOrder)])
}

// MaxOrder is the number of endpoints that an order has at most.
const MaxOrder = 64

// rank writes the endpoints with the smallest scores to out, best first, and
// returns their number. A score is an exponential variate with the endpoint's
// weight as its rate, so the smallest one falls on each endpoint with a
// probability in proportion to its weight.
func rank(flow uint64, es []ranked, out []ident.EndpointID) int {
	var best [MaxOrder]float64
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
			// 1-u is a lower bound of -ln u and spares the logarithm of most endpoints.
			if (1-u)*e.mean >= best[j] {
				continue
			}
		}
		s := -math.Log(u) * e.mean
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

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
