// Package place decides which agent takes a new flow. An opening packet is passed
// along a list of candidate agents. Each candidate writes its current load into
// the list, so no separate load reports cross the network.
package place

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// Load is the load of an upstream.
type Load struct {
	// Slots is the number of requests that the upstream processes concurrently; it
	// is greater than zero.
	Slots float64
	// Busy is the number of requests in progress plus the number of flows that are
	// being opened, because their first requests are about to arrive.
	Busy int
	// MeanBusy is a moving average of Busy. It accounts for open flows that are idle
	// at the moment and will send further requests.
	MeanBusy float64
	// Delay is the time until the upstream may get another flow because it is cold, in
	// multiples of the mean work time. The flow waits as if it were queued for so long.
	Delay float64
	// Failing is set while requests to the upstream fail before they complete. A
	// failing upstream gets a flow only if all other candidates are failing or
	// closed.
	Failing bool
	// Closed is set while the upstream takes no new flows.
	Closed bool
	// Work is the measured time in which the upstream answers a request; 0 if it is not
	// measured, and depths then are shares of the slots. Peers is the time in which
	// others of the service expect to serve a request; 0 if unknown.
	Work, Peers time.Duration
	// Show is set if others are to see the expected time, even if the flow could be taken
	// at once.
	Show bool
}

// immediateTakeDepth is the depth below which an agent takes a flow without
// passing the packet to further candidates: 60% of the slots.
const immediateTakeDepth = frame.DepthFull * 6 / 10

// Depth returns the load as a fraction of the slots, in units of 1/frame.DepthFull. A
// failing upstream has the highest depth at which a flow is still taken.
func (l Load) Depth() frame.Depth {
	if l.Closed {
		return frame.DepthClosed
	}
	if l.Failing {
		return frame.DepthClosed - 1
	}
	return limited(l.load() / l.Slots * float64(frame.DepthFull))
}

// load returns the number of requests in progress that placement assumes.
func (l Load) load() float64 {
	load := (float64(l.Busy) + l.MeanBusy) / 2
	if float64(l.Busy) >= l.Slots {
		// Requests are queued, and the flow would wait behind them, so the mean must
		// not lower the load.
		load = max(load, float64(l.Busy))
	}
	if l.Delay > 0 {
		load = max(load, l.Slots*(1+l.Delay))
	}
	return load
}

func limited(depth float64) frame.Depth {
	return frame.Depth(min(depth, float64(frame.DepthClosed-2)))
}

// Decide returns what an agent with load l does with an Offer or Placed frame. For
// admit.Forward it rewrites the frame for the next agent.
func Decide(l Load, f *frame.Frame) admit.Action {
	if f.Kind == frame.Placed {
		if l.Closed {
			return admit.Refuse
		}
		return admit.Take
	}
	depth := l.Depth()
	if depth < immediateTakeDepth && !l.Slow() && !l.Show {
		return admit.Take
	}
	if l.Work > 0 && depth < frame.DepthClosed-1 {
		depth = l.timeDepth(f)
	}
	if len(f.Candidates) == 0 {
		return decideAlone(depth)
	}
	f.Candidates[f.Position].Depth = depth
	if f.Position+1 < len(f.Candidates) {
		f.Position++
		return admit.Forward
	}
	best := leastLoaded(f)
	switch {
	case f.Candidates[best].Depth == frame.DepthClosed:
		return admit.Refuse
	case best == f.Position:
		return admit.Take
	}
	f.Kind, f.Position = frame.Placed, best
	return admit.Forward
}

// decideAlone decides on an offer without a list of candidates.
func decideAlone(depth frame.Depth) admit.Action {
	if depth == frame.DepthClosed {
		return admit.Refuse
	}
	return admit.Take
}

// Pass rewrites a Placed frame, which the receiver cannot take, for the least loaded of
// the other candidates. It reports false if none of them takes flows. Each receiver
// closes itself, so the frame does not come back.
func Pass(f *frame.Frame) bool {
	if len(f.Candidates) == 0 {
		return false
	}
	f.Candidates[f.Position].Depth = frame.DepthClosed
	best := leastLoaded(f)
	if f.Candidates[best].Depth == frame.DepthClosed {
		return false
	}
	f.Position = best
	return true
}

// leastLoaded returns the position of the candidate with the lowest depth. At equal
// depths it prefers the agent that decides, which is the last candidate, because
// that saves a hop.
func leastLoaded(f *frame.Frame) int {
	best := f.Position
	for i := range f.Candidates {
		if f.Candidates[i].Depth < f.Candidates[best].Depth {
			best = i
		}
	}
	return best
}
