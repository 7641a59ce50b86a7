package peer

import (
	"cmp"
	"slices"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// peersPerBalancer is the number of sessions that a balancer opens.
const peersPerBalancer = 3

// Choose returns the balancers that self opens sessions to. The first is its
// successor in the ring of key hashes, which connects the graph whatever the
// others are; rendezvous ranks give the rest, which keep paths short.
func Choose(self view.Key, balancers []view.Key) []view.Key {
	type ranked struct {
		key  view.Key
		hash uint64
		rank uint64
	}
	own := self.Hash()
	var others []ranked
	for _, k := range balancers {
		if h := k.Hash(); k != self {
			others = append(others, ranked{k, h, health.Rank(h, own)})
		}
	}
	var chosen []view.Key
	if len(others) > peersPerBalancer {
		// Unsigned subtraction gives the distance around the ring.
		next := slices.MinFunc(others, func(a, b ranked) int { return cmp.Compare(a.hash-own, b.hash-own) })
		chosen = append(chosen, next.key)
		others = slices.DeleteFunc(others, func(r ranked) bool { return r.key == next.key })
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for _, r := range others {
		if len(chosen) < peersPerBalancer {
			chosen = append(chosen, r.key)
		}
	}
	return chosen
}
