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
	others := slices.DeleteFunc(slices.Clone(balancers), func(k view.Key) bool { return k == self })
	if len(others) <= peersPerBalancer {
		return others
	}
	// Unsigned subtraction gives the distance around the ring.
	own := self.Hash()
	next := slices.MinFunc(others, func(a, b view.Key) int { return cmp.Compare(a.Hash()-own, b.Hash()-own) })
	others = slices.DeleteFunc(others, func(k view.Key) bool { return k == next })
	slices.SortFunc(others, func(a, b view.Key) int { return cmp.Compare(health.Rank(b, self), health.Rank(a, self)) })
	return append([]view.Key{next}, others[:peersPerBalancer-1]...)
}
