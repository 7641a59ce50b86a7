package hostd

import (
	"context"
	"encoding/json"
	"io"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/roster"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestWrittenAgain guards against an agent that counted as gone and leaves its entry in the
// platform's list as it was: the removal that is under way would take it away.
func TestWrittenAgain(t *testing.T) {
	s := store.New()
	server := httptest.NewServer(s)
	defer server.Close()
	client := plat.New(server.URL, time.Second)
	local := netip.MustParseAddrPort("127.0.0.1:0")
	out := node.NewOutput(io.Discard)
	a, err := New(Settings{Name: "side1", Hop: local, Outbound: local, Service: "s"}, flow.Codec{}, client, out, out.NewLog("agent", "side1"))
	if err != nil {
		t.Fatal(err)
	}
	a.parts.Spawn(a.maintainListing)
	defer a.parts.Close()
	read := func() (version plat.Version, e roster.AgentEntry) {
		for begin := time.Now(); a.listingPending.Load() && time.Since(begin) < 5*time.Second; time.Sleep(time.Millisecond) {
		}
		o, err := client.Get(context.Background(), plat.KindEndpoint, local.String())
		if err != nil || json.Unmarshal(o.Value, &e) != nil {
			t.Fatalf("want the entry in the list, have %s, %v", o.Value, err)
		}
		return o.Version, e
	}
	var seq ident.Seq
	a.loop.Do(func(now time.Duration) {
		a.core.OnReport(now, Report{ID: "u", Service: "s", Seq: 1})
		seq = a.core.registration.seq
	})
	before, _ := read()
	for range 2 {
		e := view.Entry{Key: view.Key{Hop: local, Instance: a.core.self.Instance}, State: view.Gone, Seq: seq, Service: "s"}
		b, err := json.Marshal([]view.Item{{Entry: e}})
		if err != nil {
			t.Fatal(err)
		}
		a.loop.Do(func(now time.Duration) { a.core.registration.handleEntries(now, b, local, a.core) })
	}
	after, e := read()
	if after != before+1 || e.Rewritten <= seq {
		t.Errorf("told twice with version %d: want the entry written once, with a higher one; have store version %d after %d, %+v", seq, after, before, e)
	}
}

// TestEnteredAfterDeregistration guards an agent whose upstream has deregistered and another
// one has come against staying removed from the platform's list.
func TestEnteredAfterDeregistration(t *testing.T) {
	c := NewCore(0, CoreConfig{Service: "s", ReportInterval: time.Second}, flow.Codec{})
	c.Log = node.NewOutput(io.Discard).NewLog("agent", "side1")
	c.ToPeer = func([]byte, netip.AddrPort) {}
	var written []ident.ServiceName
	c.UpdateListing = func(s ident.ServiceName) { written = append(written, s) }
	c.OnReport(0, Report{ID: "u1", StartedMillis: 10, Seq: 1, Service: "s"})
	c.OnDeregister(time.Second, "u1", 10)
	for n := range int64(3) {
		c.OnReport(2*time.Second, Report{ID: "u2", StartedMillis: 2000, Seq: 1 + n, Service: "s"})
	}
	if want := []ident.ServiceName{"s", "", "s"}; !slices.Equal(written, want) {
		t.Errorf("want %q written, have %q", want, written)
	}
}
