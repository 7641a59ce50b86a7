package hostd

import (
	"testing"
	"time"
)

// TestSpeed guards the verdict on answers that come at once or late: an upstream that
// always gives some at once is not suspected, nor one without a history, nor one
// that changes by and by.
func TestSpeed(t *testing.T) {
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
		{"slow", repeat(200, 40*ms, 60*ms), repeat(3, 320*ms, 320*ms), 3},
		{"twice the time", repeat(200, 40*ms, 60*ms), repeat(50, 80*ms, 120*ms), 0},
		{"a repeated packet", repeat(200, 4*ms, 4*ms), repeat(3, 110*ms, 110*ms), 0},
		{"fast upstream", repeat(200, 4*ms, 5*ms), repeat(50, ms, ms), 0},
		{"becomes faster", append(append(repeat(200, 40*ms, 40*ms), repeat(1000, 12*ms, 12*ms)...), repeat(1000, 3*ms, 3*ms)...), repeat(50, ms, ms), 0},
	} {
		var s speed
		for _, a := range c.history {
			s.unusual(a, true, false)
		}
		have := 0
		for _, a := range c.then {
			if s.unusual(a, true, false) {
				have++
			}
		}
		if have != c.unusual {
			t.Errorf("%s: want %d unusual, have %d (usual %v, share %.2f)", c.name, c.unusual, have, s.usual, s.quick)
		}
	}
}
