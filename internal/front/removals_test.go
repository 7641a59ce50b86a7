package front

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/roster"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestRemovalRetried guards against the entry of an agent that stays in the platform's list
// because the platform was down when it was removed, and against the removal of one that
// has announced itself meanwhile.
func TestRemovalRetried(t *testing.T) {
	for _, returns := range []bool{false, true} {
		s := store.New()
		server := httptest.NewServer(s)
		defer server.Close()
		client := plat.New(server.URL, time.Second)
		local := netip.MustParseAddrPort("127.0.0.1:0")
		out := node.NewOutput(io.Discard)
		b, err := New(Settings{Name: "edge1", Hop: local, Peer: local}, flow.Codec{}, client, ConfigObject{}, out, out.NewLog("balancer", "edge1"))
		if err != nil {
			t.Fatal(err)
		}
		defer b.parts.Close()
		hop := netip.MustParseAddrPort("127.0.0.1:9")
		if err := roster.AddAgent(t.Context(), client, roster.AgentEntry{Hop: hop, Service: "s"}); err != nil {
			t.Fatal(err)
		}
		s.SetFaults(store.Faults{Outage: true})
		ended := make(chan struct{})
		go func() {
			b.removeAgent(t.Context(), view.Entry{Key: view.Key{Hop: hop, Instance: 1}, Seq: 5})
			close(ended)
		}()
		for begin := time.Now(); client.Calls.Failures.Load() == 0 && time.Since(begin) < time.Second; time.Sleep(time.Millisecond) {
		}
		if returns {
			e := view.Entry{Key: view.Key{Hop: hop, Instance: 2}, State: view.Serving, Seq: 6, Service: "s"}
			b.loop.Do(func(now time.Duration) { b.core.mergeItems(now, []view.Item{{Entry: e}}) })
		}
		s.SetFaults(store.Faults{})
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the removal has not ended")
		}
		if n := s.Len(plat.KindEndpoint); (n == 1) != returns {
			t.Errorf("agent returns: %t: have %d entries", returns, n)
		}
	}
}

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

// TestListedRemover guards an entry of the platform's list that names no running agent, and
// whose removal has failed, against staying because no balancer but the one that has read
// the list knows of it.
func TestListedRemover(t *testing.T) {
	c := NewCore(0, CoreConfig{Name: "edge2", Peer: netip.MustParseAddrPort("10.0.0.2:7000")}, flow.Codec{})
	c.Log = node.NewOutput(io.Discard).NewLog("balancer", "edge2")
	c.ToAgent = func([]byte, netip.AddrPort) {}
	other := view.Entry{Key: view.Key{Name: "edge1", Instance: 1, Hop: netip.MustParseAddrPort("10.0.0.1:8000")}, State: view.Serving, Seq: 1, Peer: netip.MustParseAddrPort("10.0.0.1:7000")}
	c.mergeItems(0, []view.Item{{Entry: other}})
	hop := netip.MustParseAddrPort("10.0.0.9:8000")
	for instance, want := range map[ident.Instance]bool{0: true, 7: false} {
		if have := c.removes(&view.Entry{Key: view.Key{Hop: hop, Instance: instance}}); have != want {
			t.Errorf("instance %d: want removal by a balancer without the lowest address %t, have %t", instance, want, have)
		}
	}
}
