package hostd

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

// TestLateNotInLoad guards placement: packets that are late already do not keep a
// new one waiting, so they must not hide which agent would serve it first.
func TestLateNotInLoad(t *testing.T) {
	c := NewCore(0, Self{}, flow.Codec{})
	for n := range 3 {
		c.waiting.Put(0, &queue.Item{Key: flow.Key{0: byte(n)}, Objective: 250 * time.Millisecond, Deadline: 1500 * time.Millisecond}, c.pace())
	}
	if have := c.Load(0).Busy; have != 3 {
		t.Errorf("while they can be in time: want a load of 3, have %d", have)
	}
	if have := c.Load(200 * time.Millisecond).Busy; have != 0 {
		t.Errorf("once they are late: want a load of 0, have %d", have)
	}
}

// TestRoomOnTheWay guards the slots of a busy upstream against standing empty for
// a handshake: it gets a flow for each request that is on its way.
func TestRoomOnTheWay(t *testing.T) {
	c := NewCore(0, Self{}, flow.Codec{})
	admitted := func(urgent bool) (n int) {
		for c.free(0, urgent) {
			c.table.Opening(0, flow.Key{0: byte(c.table.Len())}, Self{}.Hop)
			n++
		}
		return n
	}
	// Handshakes take a fifth of the work, so one of two slots' requests is on its way.
	if have, want := admitted(false), presumedSlots+spareOpenings+1; have != want {
		t.Errorf("want %d flows, have %d", want, have)
	}
	if have, want := c.table.Len()+admitted(true), presumedSlots+urgentOpenings; have != want {
		t.Errorf("with urgent ones: want %d flows, have %d", want, have)
	}
}
