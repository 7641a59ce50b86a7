package route

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const tag ident.ServiceTag = 9

const flows = 20_000

func endpoint(n int, weight float64, remote bool) Endpoint {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 4433)
	return Endpoint{ID: ident.EndpointID{Addr: addr, Instance: ident.Instance(n + 1)}, Weight: weight, Remote: remote}
}

// endpoints returns one endpoint for each weight; a negative one stands for
// its absolute value in another region.
func endpoints(weights ...float64) []Endpoint {
	var es []Endpoint
	for i, w := range weights {
		es = append(es, endpoint(i, math.Abs(w), w < 0))
	}
	return es
}

func table(es []Endpoint) *Table {
	return NewTable(map[ident.ServiceTag][]Endpoint{tag: es})
}

// list returns the candidates of flow n.
func (t *Table) list(n int) []ident.EndpointID {
	var (
		h  encap.Header
		id [8]byte
	)
	binary.BigEndian.PutUint64(id[:], uint64(n))
	t.Candidates(tag, id[:], &h)
	var ids []ident.EndpointID
	for _, c := range h.Candidates[:h.Count] {
		ids = append(ids, c.Endpoint)
	}
	return ids
}

var shapes = map[string][]float64{
	"one":            {1},
	"equal":          {1, 1, 1, 1, 1, 1, 1},
	"weighted":       {1, 2, 3, 4, 0.5, 10, 1},
	"large weights":  {1e6, 2e6, 1e6, 3e6},
	"two regions":    {1, 1, 1, 1, -1, -1, -1},
	"mostly remote":  {1, -1, -2, -3, -1, -1},
	"remote only":    {-1e6, -1e6, -2e6, -1e6, -1e6},
	"with unusable":  {1, 0, 1, math.Inf(1), 1, math.NaN(), 1},
	"none is usable": {0},
}

// TestSameList guards against balancers that hold the same view in another
// order and compute other candidates, so that the two packets of one
// ClientHello go to different agents.
func TestSameList(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for name, weights := range shapes {
		t.Run(name, func(t *testing.T) {
			es := endpoints(weights...)
			one := table(es)
			rnd.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
			other := table(append(es, es[0]))
			for n := range flows {
				if want, have := one.list(n), other.list(n); !slices.Equal(want, have) {
					t.Fatalf("flow %d: want %v, have %v", n, want, have)
				}
			}
		})
	}
}

// TestShares guards against weights that are not respected and against flows
// that leave the region while it has endpoints. The bound is four standard
// deviations of the binomial distribution; the flows are the same in each run.
func TestShares(t *testing.T) {
	for name, weights := range shapes {
		t.Run(name, func(t *testing.T) {
			var sum, remoteSum float64
			usable, locals := 0, 0
			for _, w := range weights {
				switch {
				case w > 0 && !math.IsInf(w, 0):
					sum += w
					usable++
					locals++
				case w < 0:
					remoteSum -= w
					usable++
				}
			}
			tab := table(endpoints(weights...))
			first := map[ident.EndpointID]float64{}
			for n := range flows {
				ids := tab.list(n)
				if want := min(usable, encap.MaxCandidates); len(ids) != want {
					t.Fatalf("flow %d: want %d candidates, have %v", n, want, ids)
				}
				for i, id := range ids {
					if remote := weights[id.Instance-1] < 0; remote != (i >= locals) {
						t.Fatalf("flow %d: candidate %d of %v is in the wrong region", n, i, ids)
					}
					if i == 0 {
						first[id]++
					}
				}
			}
			if locals == 0 {
				sum = remoteSum
			}
			for id, have := range first {
				p := math.Abs(weights[id.Instance-1]) / sum
				if want, bound := flows*p, 4*math.Sqrt(flows*p*(1-p)); math.Abs(have-want) > bound {
					t.Errorf("%v: want %.0f ± %.0f flows, have %.0f", id, want, bound, have)
				}
			}
		})
	}
}

// TestRemoval guards against the loss of one endpoint moving flows of others:
// the remaining candidates must keep their order and only one may be new.
func TestRemoval(t *testing.T) {
	for name, weights := range shapes {
		for gone := range weights {
			es := endpoints(weights...)
			before := table(es)
			after := table(slices.Delete(es, gone, gone+1))
			id := endpoint(gone, 1, false).ID
			for n := range flows / 10 {
				want := slices.DeleteFunc(before.list(n), func(e ident.EndpointID) bool { return e == id })
				have := after.list(n)
				if len(have) < len(want) || len(have) > encap.MaxCandidates || !slices.Equal(have[:len(want)], want) {
					t.Fatalf("%s without %v, flow %d: want %v first, have %v", name, id, n, want, have)
				}
			}
		}
	}
}

// TestUnusableAddress guards against one bad announcement that stops every balancer.
func TestUnusableAddress(t *testing.T) {
	es := endpoints(1, 1, 1)
	es[1].ID.Addr = netip.AddrPort{}
	es[2].ID.Addr = netip.MustParseAddrPort("[2001:db8::1]:4433")
	if tab := table(es); tab.Len(tag) != 1 {
		t.Errorf("usable endpoints: want 1, have %d", tab.Len(tag))
	}
}

func BenchmarkCandidates(b *testing.B) {
	for _, n := range []int{7, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var es []Endpoint
			for i := range n {
				es = append(es, endpoint(i, 1+float64(i%3), false))
			}
			tab := table(es)
			var (
				h  encap.Header
				id [8]byte
			)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				binary.BigEndian.PutUint64(id[:], uint64(i))
				tab.Candidates(tag, id[:], &h)
			}
		})
	}
}
