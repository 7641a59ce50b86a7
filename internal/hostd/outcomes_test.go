package hostd

import (
	"testing"
	"time"
)

// TestOutcomes checks when an upstream counts as failing: after three failures in a
// row, but not after one or two, and until a run of successes.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		name string
		// outcomes has an x for each failed request and a dot for each successful one.
		outcomes string
		failing  bool
	}{
		{"none", "", false},
		{"one failure", "....x", false},
		{"two failures", "....xx", false},
		{"three failures", "....xxx", true},
		{"every fifth request", "x....x....x....x....x", false},
		{"every second request", "x.x.x.x.x.", true},
		{"a success among failures", "xxxxxxxxx.", true},
		{"a run of successes", "xxxxxxxxx..........", false},
	} {
		var o outcomes
		for _, r := range c.outcomes {
			o.add(0, r == 'x')
		}
		if o.failing != c.failing {
			t.Errorf("%s: want failing %v, have %v with a failure share of %.2f", c.name, c.failing, o.failing, o.failureShare)
		}
	}
}

// TestProbes checks the rate of probes to a failing upstream: one per probeInterval
// while they fail, the next one at once after a success, and none with an urgent
// request.
func TestProbes(t *testing.T) {
	var o outcomes
	o.add(0, true)
	if o.mayProbe(probeInterval-time.Millisecond, false) || !o.mayProbe(probeInterval, false) {
		t.Errorf("after a failure: want a probe after %v", probeInterval)
	}
	if o.mayProbe(probeInterval, true) {
		t.Error("want no probe with an urgent request")
	}
	o.probe(probeInterval)
	if o.mayProbe(probeInterval+time.Millisecond, false) {
		t.Error("want one probe at a time")
	}
	o.add(probeInterval+30*time.Millisecond, false)
	if !o.mayProbe(probeInterval+30*time.Millisecond, false) {
		t.Error("after a success: want the next probe at once")
	}
}
