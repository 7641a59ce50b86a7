package place

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

func newOffer(n int) *frame.Frame {
	f := frame.Frame{Kind: frame.Offer}
	for i := range n {
		f.Candidates = append(f.Candidates, frame.Candidate{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000)})
	}
	return &f
}

// runWalk passes an opening packet along the candidates. It returns the index of
// the candidate that takes it, or -1 if none does, and the number of hops.
func runWalk(t *testing.T, f *frame.Frame, loads []Load) (taker, hops int) {
	for hops = range 2 * len(loads) {
		at := f.Position
		switch Decide(loads[at], f) {
		case admit.Take:
			return at, hops
		case admit.Refuse:
			return -1, hops
		case admit.Forward:
		}
	}
	t.Fatal("walk does not end")
	return
}

// TestDecide guards against flows that are taken by the wrong candidate.
func TestDecide(t *testing.T) {
	idle, half, busy, queued := Load{Slots: 4}, Load{Slots: 4, Busy: 3, MeanBusy: 3}, Load{Slots: 4, Busy: 4, MeanBusy: 4}, Load{Slots: 4, Busy: 6, MeanBusy: 4}
	closed, failing := Load{Slots: 4, Closed: true}, Load{Slots: 4, Failing: true}
	for _, c := range []struct {
		name  string
		loads []Load
		taker int
	}{
		{"first is idle", []Load{idle, idle}, 0},
		{"first is busy", []Load{busy, idle}, 1},
		{"all busy: the least loaded takes it", []Load{queued, half, busy}, 1},
		{"a closed upstream gets nothing, even as the last candidate", []Load{queued, closed}, 0},
		{"all closed", []Load{closed, closed}, -1},
		{"a failing upstream gets nothing while another one serves", []Load{failing, queued}, 1},
		{"a failing upstream is better than none", []Load{failing, closed}, 0},
		{"all failing", []Load{failing, failing}, 1},
		{"single candidate, busy", []Load{queued}, 0},
		{"mean load counts even if few requests are running", []Load{{Slots: 4, Busy: 2, MeanBusy: 4}, idle}, 1},
	} {
		if have, _ := runWalk(t, newOffer(len(c.loads)), c.loads); have != c.taker {
			t.Errorf("%s: want %d, have %d", c.name, c.taker, have)
		}
	}
}

// TestPlaced guards against placed packets that are forwarded again, which could
// pass them around in circles.
func TestPlaced(t *testing.T) {
	f := newOffer(2)
	f.Kind = frame.Placed
	if have := Decide(Load{Slots: 1, Busy: 9}, f); have != admit.Take {
		t.Errorf("want take, have %s", have)
	}
	if have := Decide(Load{Slots: 1, Closed: true}, f); have != admit.Refuse {
		t.Errorf("want refuse, have %s", have)
	}
}

// TestWalkEnds guards against walks with more hops than candidates, and against
// walks that end at a closed upstream while another one takes flows.
func TestWalkEnds(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		loads := make([]Load, 1+r.IntN(6))
		open := false
		for i := range loads {
			loads[i] = Load{Slots: 1 + float64(r.IntN(5)), Busy: r.IntN(9), MeanBusy: 6 * r.Float64(), Closed: r.IntN(3) == 0}
			open = open || !loads[i].Closed
		}
		taker, hops := runWalk(t, newOffer(len(loads)), loads)
		if hops > len(loads) {
			t.Fatalf("%+v: %d hops, more than candidates", loads, hops)
		}
		if open != (taker >= 0) || taker >= 0 && loads[taker].Closed {
			t.Fatalf("%+v: flow taken by candidate %d", loads, taker)
		}
	}
}

// TestPass guards a placed packet whose taker has changed its mind: it goes to the least
// loaded other candidate, and ends once all have closed.
func TestPass(t *testing.T) {
	f := newOffer(3)
	f.Kind, f.Candidates[0].Depth, f.Candidates[1].Depth, f.Candidates[2].Depth = frame.Placed, 10, 30, 20
	for _, want := range []int{2, 1} {
		if !Pass(f) || f.Position != want || f.Kind != frame.Placed {
			t.Errorf("want candidate %d, have %+v", want, f)
		}
	}
	if Pass(f) || Pass(&frame.Frame{Kind: frame.Placed}) {
		t.Error("all are closed: want it returned")
	}
}
