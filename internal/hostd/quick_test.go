package hostd

import (
	"testing"
	"time"
)

// TestQuick guards the verdict on answers that come at once: an upstream that
// always gives some is not suspected, nor one without a history, nor one that
// becomes faster by and by.
func TestQuick(t *testing.T) {
	const ms = time.Millisecond
	// repeat returns n answers; each fifth one takes the second time.
	repeat := func(n int, took, fifth time.Duration) (as []time.Duration) {
		for i := range n {
			if i%5 == 4 {
				as = append(as, fifth)
			} else {
				as = append(as, took)
			}
		}
		return as
	}
	for _, c := range []struct {
		name          string
		history, then []time.Duration
		unusual       int
	}{
		{"errors at once", repeat(200, 40*ms, 60*ms), repeat(3, ms, ms), 3},
		{"no history", repeat(20, 40*ms, 60*ms), repeat(5, ms, ms), 0},
		{"a cache", append(repeat(100, 40*ms, 40*ms), repeat(1000, 40*ms, ms)...), repeat(10, 40*ms, ms), 0},
		{"half the time", repeat(200, 40*ms, 60*ms), repeat(50, 20*ms, 10*ms), 0},
		{"fast upstream", repeat(200, 4*ms, 5*ms), repeat(50, ms, ms), 0},
		{"becomes faster", append(append(repeat(200, 40*ms, 40*ms), repeat(1000, 12*ms, 12*ms)...), repeat(1000, 3*ms, 3*ms)...), repeat(50, ms, ms), 0},
	} {
		var q quick
		for _, a := range c.history {
			q.unusual(a, false)
		}
		have := 0
		for _, a := range c.then {
			if q.unusual(a, false) {
				have++
			}
		}
		if have != c.unusual {
			t.Errorf("%s: want %d unusual, have %d (usual %v, share %.2f)", c.name, c.unusual, have, q.usual, q.share)
		}
	}
}
