package hostd

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

// TestLateNotInLoad checks that the load excludes waiting packets that have missed
// their objective. New packets are served before them, so counting them would
// distort the choice of the least loaded agent.
func TestLateNotInLoad(t *testing.T) {
	c := NewCore(0, CoreConfig{}, flow.Codec{})
	for n := range 3 {
		c.waiting.Put(0, &queue.Item{Key: flow.Key{0: byte(n)}, Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}, c.serviceTimes())
	}
	if have := c.Load(0).Busy; have != 3 {
		t.Errorf("while the packets can meet their objective: want a load of 3, have %d", have)
	}
	if have := c.Load(200 * time.Millisecond).Busy; have != 0 {
		t.Errorf("once the packets are late: want a load of 0, have %d", have)
	}
}

// TestAdmitDuringHandshake checks that a busy upstream gets additional flows for those
// expected to be in their handshake. Otherwise its slots would stay idle for the time
// of a handshake.
func TestAdmitDuringHandshake(t *testing.T) {
	c := NewCore(0, CoreConfig{}, flow.Codec{})
	admitted := func(urgent bool) (n int) {
		for c.canAdmit(0, urgent) {
			c.table.AddOpening(0, flow.Key{0: byte(c.table.Len())}, CoreConfig{}.Hop)
			n++
		}
		return n
	}
	// The initial handshake time is a fifth of the work time, so with two slots one
	// flow, rounded up, is expected to be in its handshake.
	if have, want := admitted(false), defaultSlots+spareFlows+1; have != want {
		t.Errorf("want %d flows, have %d", want, have)
	}
	if have, want := c.table.Len()+admitted(true), defaultSlots+maxSpareFlows; have != want {
		t.Errorf("including urgent requests: want %d flows, have %d", want, have)
	}
}
