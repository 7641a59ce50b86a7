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

const flowCount = 20_000

func endpoint(n int, weight float64, remote bool) Endpoint {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 4433)
	return Endpoint{ID: ident.EndpointID{Addr: addr, Instance: ident.Instance(n + 1)}, Weight: weight, Remote: remote}
}

// endpoints returns one endpoint for each weight. A negative weight stands for a
// remote endpoint with its absolute value.
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

// candidates returns the candidates of flow n.
func (t *Table) candidates(n int) []ident.EndpointID {
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

var weightSets = map[string][]float64{
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

// TestCandidatesIgnoreInputOrder guards against balancers that have the same
// view in another order and compute different candidates. The two packets of
// one ClientHello would then go to different agents.
func TestCandidatesIgnoreInputOrder(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for name, weights := range weightSets {
		t.Run(name, func(t *testing.T) {
			es := endpoints(weights...)
			one := table(es)
			rnd.Shuffle(len(es), func(i, j int) { es[i], es[j] = es[j], es[i] })
			other := table(append(es, es[0]))
			for n := range flowCount {
				if want, have := one.candidates(n), other.candidates(n); !slices.Equal(want, have) {
					t.Fatalf("flow %d: want %v, have %v", n, want, have)
				}
			}
		})
	}
}

// TestShares guards against flows that are not distributed by weight and
// against flows that go to another region while their own has endpoints. The
// bound is four standard deviations of the binomial distribution; the flows are
// the same in each run.
func TestShares(t *testing.T) {
	for name, weights := range weightSets {
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
			for n := range flowCount {
				ids := tab.candidates(n)
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
				if want, bound := flowCount*p, 4*math.Sqrt(flowCount*p*(1-p)); math.Abs(have-want) > bound {
					t.Errorf("%v: want %.0f ± %.0f flows, have %.0f", id, want, bound, have)
				}
			}
		})
	}
}

// TestRemoval guards against moving flows of other endpoints when one endpoint
// is removed: the remaining candidates must keep their order, and only one may
// be new.
func TestRemoval(t *testing.T) {
	for name, weights := range weightSets {
		for gone := range weights {
			es := endpoints(weights...)
			before := table(es)
			after := table(slices.Delete(es, gone, gone+1))
			id := endpoint(gone, 1, false).ID
			for n := range flowCount / 10 {
				want := slices.DeleteFunc(before.candidates(n), func(e ident.EndpointID) bool { return e == id })
				have := after.candidates(n)
				if len(have) < len(want) || len(have) > encap.MaxCandidates || !slices.Equal(have[:len(want)], want) {
					t.Fatalf("%s without %v, flow %d: want %v first, have %v", name, id, n, want, have)
				}
			}
		}
	}
}

// TestUnusableAddress guards against a panic in every balancer when one endpoint
// announces an address that is not IPv4.
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
