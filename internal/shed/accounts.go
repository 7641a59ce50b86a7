package shed

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxAccounts is the number of counts. Accounts whose addresses have the same hash
// share a count; one in maxAccounts shares that of a given other one.
const maxAccounts = 2048

// minCount is the count from which on an account is one of those that send.
const minCount = 0.25

// retryShare is the part of resets that a further attempt follows: callers try three times.
// The next attempt may reach another balancer, but as many come from there.
const retryShare = 2.0 / 3

// accounts counts the requests of client accounts, which are told apart by address: the
// attempts less retryShare for each one that was reset.
type accounts struct {
	sent [maxAccounts]float32
}

func accountOf(a netip.Addr) int {
	b := a.As16()
	return int(xxhash.Sum64(b[:]) % maxAccounts)
}

// add adds to the count of an account and returns it.
func (a *accounts) add(account netip.Addr, n float32) float64 {
	v := &a.sent[accountOf(account)]
	*v = max(0, *v+n)
	return float64(*v)
}

func (a *accounts) decay() {
	for n := range a.sent {
		a.sent[n] *= countDecay
	}
}

// median returns the median of the counts of accounts that have lately sent a request.
func (a *accounts) median() float64 {
	var counts []float32
	for _, v := range a.sent {
		if v >= minCount {
			counts = append(counts, v)
		}
	}
	if len(counts) == 0 {
		return 0
	}
	slices.Sort(counts)
	return float64(counts[len(counts)/2])
}

// total returns the sum of all counts.
func (a *accounts) total() float64 {
	sum := 0.0
	for _, v := range a.sent {
		sum += float64(v)
	}
	return sum
}

// level returns the largest count such that all accounts together send no more than a
// total if each one sends no more than this count; 0 if they send less anyway.
func (a *accounts) level(total float64) float64 {
	counts := slices.Clone(a.sent[:])
	slices.Sort(counts)
	for n, v := range counts {
		left := float64(len(counts) - n)
		if float64(v)*left > total {
			return total / left
		}
		total -= float64(v)
	}
	return 0
}
