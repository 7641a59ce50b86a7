package hostd

import (
	"testing"
	"time"
)

// TestLatency checks which response times count as unusual. Quick answers of an
// upstream with a cache do not, nor does any answer of an upstream without a history
// or of one whose response times change gradually.
func TestLatency(t *testing.T) {
	const ms = time.Millisecond
	// repeat returns n response times; every fifth one is the second value.
	repeat := func(n int, took, fifth time.Duration) (answers []time.Duration) {
		for i := range n {
			if i%5 == 4 {
				answers = append(answers, fifth)
			} else {
				answers = append(answers, took)
			}
		}
		return answers
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
		var s latency
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
			t.Errorf("%s: want %d unusual, have %d (typical %v, quick share %.2f)", c.name, c.unusual, have, s.typical, s.quickShare)
		}
	}
}
