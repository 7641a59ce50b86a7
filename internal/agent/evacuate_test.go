package agent

import (
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestEvacuated guards against an agent of an evacuated place that takes new flows
// from a balancer with an older configuration. It hands them to the next candidate
// or refuses them; its open flows go on, and it takes flows again afterwards.
func TestEvacuated(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	a := b.newAgent("127.0.0.1:0", url, decl.Service{})
	a.settings.Place = "recife"
	b.serve(a)
	accept := func(g ident.Generation, places ...decl.PlaceName) {
		d := decl.New("main").Place("recife", "r").Place("olinda", "r").
			Service("listas", "10.0.0.1:443", decl.Streams("/feeds/")).Evacuate(places...)
		a.accept(&config.Accepted{Generation: g, Declaration: d})
	}
	accept(1, "olinda")
	old := b.client()
	feed := make(chan error, 1)
	go func() {
		_, err := b.get(old, "/feeds/hold")
		feed <- err
	}()
	eventually(t, "feed open", func() bool { return u.calls.Load() == 1 })

	accept(2, "olinda", "recife")
	if a.serving() || !a.State().Evacuated {
		t.Error("want probes answered as draining and the dump to say so")
	}
	if status, err := b.get(old, "/"); err != nil || status != 200 {
		t.Errorf("open flow: want 200, have %d, %v", status, err)
	}
	before := u.calls.Load()
	if status, err := b.get(b.client(), "/"); err == nil {
		t.Errorf("new flow: want it refused, have status %d", status)
	}
	otherUpstream, otherURL := newTestUpstream(t)
	b.startAgent("127.0.0.1:0", otherURL, decl.Service{})
	if status, err := b.get(b.client(), "/"); err != nil || status != 200 || otherUpstream.calls.Load() != 1 {
		t.Errorf("new flow: want 200 of the other place, have %d, %v", status, err)
	}
	// A balancer sent this packet before: the placement is final.
	h := encap.Header{Kind: encap.Placed, Count: 1}
	if have := a.admission.decide([]byte("12345678"), &h); have.String() != "refuse" {
		t.Errorf("placed flow: want it refused, have %v", have)
	}
	if n := u.calls.Load() - before; n != 0 {
		t.Errorf("want no request of a new flow at the upstream, have %d", n)
	}

	accept(3, "olinda")
	if status, err := b.get(b.client(), "/"); err != nil || status != 200 || u.calls.Load() != before+1 {
		t.Errorf("taken back: want 200 of the agent, have %d, %v", status, err)
	}
	close(u.release)
	if err := <-feed; err != nil {
		t.Errorf("feed: %v", err)
	}
}
