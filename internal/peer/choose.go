package peer

import (
	"cmp"
	"slices"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// peersPerBalancer is the number of balancers that choosePeers returns at most.
// It is called for all balancers and for the live ones, so a balancer may open
// sessions to twice as many.
const peersPerBalancer = 3

// choosePeers returns the balancers that self opens sessions to. The first is
// its successor in the ring of key hashes, which keeps the graph of sessions
// connected. The others are chosen by rendezvous hashing, which keeps paths
// short.
func choosePeers(self view.Key, balancers []view.Key) []view.Key {
	type ranked struct {
		key  view.Key
		hash uint64
		rank uint64
	}
	selfHash := self.Hash()
	var others []ranked
	for _, k := range balancers {
		if h := k.Hash(); k != self {
			others = append(others, ranked{k, h, health.Rank(h, selfHash)})
		}
	}
	var chosen []view.Key
	if len(others) > peersPerBalancer {
		// Unsigned subtraction wraps around, which gives the distance on the ring.
		successor := slices.MinFunc(others, func(a, b ranked) int { return cmp.Compare(a.hash-selfHash, b.hash-selfHash) })
		chosen = append(chosen, successor.key)
		others = slices.DeleteFunc(others, func(r ranked) bool { return r.key == successor.key })
	}
	slices.SortFunc(others, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	for _, r := range others {
		if len(chosen) < peersPerBalancer {
			chosen = append(chosen, r.key)
		}
	}
	return chosen
}
