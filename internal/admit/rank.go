package admit

import (
	"math"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

const (
	// maxRank is the highest rank; a depth of DepthUnit means no free slot.
	maxRank = encap.DepthUnit - 1
	// exactRank is the rank up to which a rank is the work itself. Above it ranks
	// grow with the logarithm up to maxWork, in steps of 14%. Many flows
	// spread evenly by the hash alone, so coarse steps do there.
	exactRank = 24
	maxWork   = 4096.0
	// recentTime is the time constant of the recent figures.
	recentTime = time.Second
	// busyWeight is how much an agent whose slots are always busy counts more
	// than an idle one with the same flows. In the placement experiment 0 makes
	// waits longer with one slow agent at light load; 8 balances flows less.
	busyWeight = 4
)

// recent holds figures of the last recentTime, in which older ones fade.
type recent struct {
	at time.Time
	// requests is the number of requests, and busy the share of the slots in use.
	requests, busy float64
}

// fade brings the recent figures up to date. It must run before a slot is
// taken or freed, as it counts the present use for the time since it last ran.
func (g *Gate) fade(now time.Time) {
	r := &g.recent
	left := math.Exp(-max(now.Sub(r.at), 0).Seconds() / recentTime.Seconds())
	used := min(1, float64(g.running)/float64(max(g.limits.Slots, 1)))
	r.requests *= left
	r.busy = r.busy*left + used*(1-left)
	r.at = now
}

// work estimates the work that the open flows bring. Flows count themselves,
// as idle ones may become active, and by their recent requests, as feeds have
// none. Busy slots tell a slow upstream from a fast one. Both are
// relative to the weight. The flow that is offered is included, as it may be
// all the work of an upstream of low weight.
func (g *Gate) work(now time.Time) float64 {
	g.fade(now)
	w := g.limits.weight()
	return (float64(g.flows()+1) + g.recent.requests) / w * (1 + busyWeight*g.recent.busy/w)
}

// rank orders agents with a free slot by their work. It takes the place of
// the depth in the header and is below DepthUnit.
func (g *Gate) rank(now time.Time) encap.Depth {
	w := g.work(now)
	if w <= exactRank {
		return encap.Depth(w)
	}
	step := math.Log(maxWork/exactRank) / float64(maxRank-exactRank)
	return min(maxRank, encap.Depth(exactRank+math.Log(w/exactRank)/step))
}
