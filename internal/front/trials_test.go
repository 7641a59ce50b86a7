package front

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// TestTrials guards against packets that reach upstreams which do not hold their
// flow: a search may try many upstreams, but only within one second of the first
// trial.
func TestTrials(t *testing.T) {
	tr, k := trials{}, flow.Key{1}
	if n := tr.allow(0, k, 15); n != 15 {
		t.Errorf("first walk: want 15 trials, have %d", n)
	}
	if n := tr.allow(time.Minute, k, 1000); n != maxWalkTrials {
		t.Errorf("no agent has tried yet: want %d trials, have %d", maxWalkTrials, n)
	}
	tr.record(time.Minute, k)
	tr.record(time.Minute+trialWindow/2, k)
	for after, want := range map[time.Duration]uint8{trialWindow - 1: 5, trialWindow: 0, 30 * time.Second: 0} {
		if n := tr.allow(time.Minute+after, k, 5); n != want {
			t.Errorf("%v after the first trial: want %d, have %d", after, want, n)
		}
	}
	tr.expire(2*time.Minute, time.Minute)
	if n := tr.allow(2*time.Minute, k, 5); n != 5 {
		t.Errorf("after the lifetime of flows: want 5 trials, have %d", n)
	}
	tr.record(2*time.Minute, k)
	tr.forget(k)
	if n := tr.allow(3*time.Minute, k, 5); n != 5 {
		t.Errorf("after the holder was found: want 5 trials, have %d", n)
	}
}
