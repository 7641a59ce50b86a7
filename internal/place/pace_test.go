package place

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/admit"
)

// TestSpeed guards callers against upstreams that are chosen by their slots although
// others serve a request earlier.
func TestSpeed(t *testing.T) {
	const ms = time.Millisecond
	at := func(work time.Duration, busy int) Load {
		return Load{Slots: 4, Busy: busy, MeanBusy: float64(busy), Work: work, Peers: 33 * ms}
	}
	closed, failing := at(30*ms, 0), at(30*ms, 0)
	closed.Closed, failing.Failing = true, true
	for _, c := range []struct {
		name  string
		loads []Load
		taker int
	}{
		{"a usual one with free slots takes it at once", []Load{at(30*ms, 1), at(20*ms, 0)}, 0},
		{"an idle slow one compares", []Load{at(60*ms, 0), at(30*ms, 1)}, 1},
		{"the slow one is better than a queue", []Load{at(60*ms, 0), at(30*ms, 9)}, 0},
		{"a fast one gets more", []Load{at(30*ms, 4), at(15*ms, 5)}, 1},
		{"equal ones: the less loaded", []Load{at(30*ms, 4), at(30*ms, 3), at(30*ms, 5)}, 1},
		{"slow ones only", []Load{at(90*ms, 0), at(60*ms, 0)}, 1},
		{"closed and failing ones stay so", []Load{closed, failing, at(300*ms, 6)}, 2},
	} {
		if have, _ := runWalk(t, newOffer(len(c.loads)), c.loads); have != c.taker {
			t.Errorf("%s: want %d, have %d", c.name, c.taker, have)
		}
	}
}

// TestPeerTimes checks that an agent sees in an offer in which time those before it expect
// to serve a request, whatever the objective, and ignores closed ones.
func TestPeerTimes(t *testing.T) {
	const ms = time.Millisecond
	for _, objective := range []uint16{0, 200, 800} {
		f := newOffer(3)
		f.ObjectiveMillis = objective
		first, second := Load{Slots: 1, Busy: 2, MeanBusy: 2, Work: 40 * ms}, Load{Slots: 1, Closed: true, Work: 40 * ms}
		for _, l := range []Load{first, second} {
			if have := Decide(l, f); have != admit.Forward {
				t.Fatalf("want forward, have %s", have)
			}
		}
		var seen []time.Duration
		PeerTimes(f, func(d time.Duration) { seen = append(seen, d.Round(5*ms)) })
		if len(seen) != 1 || seen[0] != first.Expected().Round(5*ms) {
			t.Errorf("objective %d: want %v, have %v", objective, first.Expected(), seen)
		}
	}
}
