package front

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// TestEvacuationsOverdue checks that a balancer that hears of no answer about evacuations
// ends its watch call and reads them within the limit, and not where there are none.
func TestEvacuationsOverdue(t *testing.T) {
	for _, limit := range []time.Duration{0, 5 * time.Second} {
		c := NewCore(0, CoreConfig{Name: "z", Place: "a", EvacuationLimit: limit, ConfigLimit: time.Hour}, flow.Codec{})
		c.Log = logrus.NewEntry(logrus.New())
		c.Log.Logger.SetOutput(io.Discard)
		interrupted := 0
		c.InterruptEvacuationWatch = func() { interrupted++ }
		const early = 2900 * time.Millisecond
		if c.checkOverdue(early); interrupted > 0 {
			t.Errorf("limit %v: interrupted after %v", limit, early)
		}
		const late = 5*time.Second - 3*overdueTimeout/2
		if c.checkOverdue(late); (interrupted == 1) != (limit > 0) {
			t.Errorf("limit %v: %d interrupts after %v", limit, interrupted, late)
		}
		if wait := c.EvacuationWait(late); limit > 0 && wait > 0 {
			t.Errorf("an answer is overdue, but the call waits for %v", wait)
		}
	}
}

// TestWaitAfterStop guards a balancer that stops against a crash: a watch call may begin
// when the balancer has just left the view, so that nobody watches.
func TestWaitAfterStop(t *testing.T) {
	c := NewCore(0, CoreConfig{Name: "z", Place: "a", EvacuationLimit: time.Second}, flow.Codec{})
	c.Stop(0)
	if w := c.WatchWait(0); w <= 0 {
		t.Errorf("have a wait of %v", w)
	}
}
