package front

import (
	"encoding/json"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestToldAfterRemoval guards a run of an agent that starts while the entry of the earlier
// one is removed, and has found that entry unchanged: it must be told until it announces
// itself anew.
func TestToldAfterRemoval(t *testing.T) {
	hop := netip.MustParseAddrPort("10.0.0.9:8000")
	c := NewCore(0, CoreConfig{Name: "edge1", Peer: netip.MustParseAddrPort("10.0.0.1:7000")}, flow.Codec{})
	c.Log = node.NewOutput(io.Discard).NewLog("balancer", "edge1")
	told := 0
	c.ToAgent = func(b []byte, to netip.AddrPort) {
		var f frame.Frame
		var items []view.Item
		if to == hop && f.Parse(b) && f.Kind == frame.Entries && json.Unmarshal(f.Payload, &items) == nil && len(items) == 1 && items[0].State == view.Gone {
			told++
		}
	}
	announce := func(now time.Duration, seq ident.Seq) {
		e := view.Entry{Key: view.Key{Hop: hop, Instance: 2}, State: view.Serving, Seq: seq, Service: "s"}
		c.mergeItems(now, []view.Item{{Entry: e}})
		c.Tick(now + tickInterval)
	}
	for _, x := range []struct {
		name string
		do   func(now time.Duration)
		want int
	}{
		{"no removal", func(now time.Duration) { announce(now, 6) }, 0},
		{"a removal is sent", func(now time.Duration) { c.removals.note(now, hop); c.Tick(now) }, 1},
		{"no answer", func(now time.Duration) { c.Tick(now) }, 2},
		{"a new announcement", func(now time.Duration) { announce(now, 7) }, 2},
		{"the removal ends", func(now time.Duration) { c.removals.end(now, hop); c.Tick(now) }, 2},
	} {
		now := c.lastTick + tickInterval
		if x.do(now); told != x.want {
			t.Errorf("%s: want the agent told %d times, have %d", x.name, x.want, told)
		}
	}
	if len(c.removals) != 0 {
		t.Errorf("want nothing kept, have %d", len(c.removals))
	}
}
