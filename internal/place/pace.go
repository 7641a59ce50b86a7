package place

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// slowFactor is the multiple of the time that others expect from which an upstream
	// does not take flows without comparing.
	slowFactor = 1.3
	// loadShare is the weight of the load in the expected time while slots are free. The
	// less loaded one of two equal upstreams is preferred.
	loadShare = 0.25
	// paceDivisor is the fraction of the objective that is depth frame.DepthFull: work
	// of an eighth of the objective gives about the depths that are shares of the slots.
	paceDivisor = 8
	// defaultObjective is the objective assumed for requests without one.
	defaultObjective = 250 * time.Millisecond
)

// Expected returns the time in which the upstream would serve a further request.
func (l Load) Expected() time.Duration {
	load := l.load()
	return time.Duration(float64(l.Work) * (max(1, (load+1)/l.Slots) + loadShare*load/l.Slots))
}

// Slow reports whether others of the service probably serve a request much earlier.
func (l Load) Slow() bool {
	return l.Work > 0 && l.Peers > 0 && float64(l.Expected()) > slowFactor*float64(l.Peers)
}

// depthUnit returns the time that a depth of 1 stands for. It depends on the offer only,
// so the depths in one offer can be compared.
func depthUnit(f *frame.Frame) float64 {
	objective := time.Duration(f.ObjectiveMillis) * time.Millisecond
	if objective == 0 {
		objective = defaultObjective
	}
	return float64(objective) / paceDivisor / float64(frame.DepthFull)
}

func (l Load) timeDepth(f *frame.Frame) frame.Depth {
	return limited(float64(l.Expected()) / depthUnit(f))
}

// PeerTimes calls saw with the times in which the agents that have passed an offer on
// expect to serve a request.
func PeerTimes(f *frame.Frame, saw func(time.Duration)) {
	if f.Kind != frame.Offer || f.Position >= len(f.Candidates) {
		return
	}
	for _, c := range f.Candidates[:f.Position] {
		if c.Depth > 0 && c.Depth < frame.DepthClosed-1 {
			saw(time.Duration(float64(c.Depth) * depthUnit(f)))
		}
	}
}
