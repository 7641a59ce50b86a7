package admit

import (
	"math"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

const (
	// maxRank is the highest rank; a depth of DepthUnit means that no slot is
	// free.
	maxRank = encap.DepthUnit - 1
	// maxLinearRank is the rank up to which the rank equals the work. Above it
	// ranks grow with the logarithm of the work, up to maxWork in steps of 14%.
	// The hash alone already spreads many flows evenly, so coarse steps are
	// enough there.
	maxLinearRank = 24
	maxWork       = 4096.0
	// loadTimeConstant is the time constant of the decaying averages.
	loadTimeConstant = time.Second
	// busyWeight is how much more an agent counts whose slots are always busy
	// than an idle one with the same flows. With 0, waits were longer with one
	// slow agent at light load; with 8, the flows were balanced less well.
	busyWeight = 4
)

// recentLoad holds exponentially decaying averages of the load.
type recentLoad struct {
	at time.Time
	// requests is the decayed number of requests, and busy the average share of
	// the slots in use, from 0 to 1.
	requests, busy float64
}

// decayLoad brings the averages up to date. It must run before a slot is taken
// or freed, as it counts the present use of the slots for the time since it
// last ran.
func (g *Gate) decayLoad(now time.Time) {
	r := &g.recent
	left := math.Exp(-max(now.Sub(r.at), 0).Seconds() / loadTimeConstant.Seconds())
	used := min(1, float64(g.running)/float64(max(g.limits.Slots, 1)))
	r.requests *= left
	r.busy = r.busy*left + used*(1-left)
	r.at = now
}

// work estimates the work of the open flows relative to the weight of the
// upstream. It counts the flows themselves, as idle ones may become active, and
// their recent requests, as feeds have none. Busy slots tell a slow upstream
// from a fast one. The offered flow is included, as it may be all the work of
// an upstream of low weight.
func (g *Gate) work(now time.Time) float64 {
	g.decayLoad(now)
	w := g.limits.weight()
	return (float64(g.flowCount()+1) + g.recent.requests) / w * (1 + busyWeight*g.recent.busy/w)
}

// rank orders the agents with a free slot by their work. It replaces the depth
// in the header and is below DepthUnit.
func (g *Gate) rank(now time.Time) encap.Depth {
	w := g.work(now)
	if w <= maxLinearRank {
		return encap.Depth(w)
	}
	step := math.Log(maxWork/maxLinearRank) / float64(maxRank-maxLinearRank)
	return min(maxRank, encap.Depth(maxLinearRank+math.Log(w/maxLinearRank)/step))
}
