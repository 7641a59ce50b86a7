package agent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

func await(t *testing.T, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for begin := time.Now(); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Since(begin) > limit {
			t.Fatalf("not within %v: %s", limit, what)
		}
	}
}

// TestAnnouncer checks that announcements reach a balancer while the platform
// is down, reach the platform once it is up again, and that the exit waits for
// the platform for at most about a second.
func TestAnnouncer(t *testing.T) {
	s := store.New()
	srv := httptest.NewServer(s)
	defer srv.Close()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	self := ident.EndpointID{Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Instance: 5}
	balancer := peer.NewNode(peer.NodeOptions{Self: view.Entry{
		Key:   view.Key{Name: "b1", Hop: netip.MustParseAddrPort("127.0.0.1:7001"), Instance: 1},
		State: view.Serving, Peer: netip.MustParseAddrPort(l.Addr().String()),
	}})
	go balancer.Serve(t.Context(), l)
	balancer.SetConfig(3, []byte(`{"generation": 3, "writer": "", "declaration": {"name": "main", "places": [], "services": []}}`))

	a := &Agent{
		settings: &config.Agent{Service: "listas", Place: "recife", Balancers: []string{l.Addr().String()}},
		process:  proc.New("agent", "test", io.Discard),
		client:   plat.New(srv.URL, 300*time.Millisecond),
		self:     self,
	}
	s.SetFaults(store.Faults{Outage: true})
	n, err := newAnnouncer(a)
	if err != nil {
		t.Fatal(err)
	}
	var configs, balancers atomic.Int32
	n.OnConfig = func(c *config.Accepted) { configs.Add(int32(c.Generation)) }
	n.OnBalancers = func(es []view.Entry) { balancers.Store(int32(len(es))) }
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(ended)
	}()
	known := func(want view.State) func() bool {
		return func() bool {
			e, _ := balancer.Get(view.EndpointKey(self))
			return e.State == want
		}
	}
	await(t, 2*time.Second, "balancer knows the agent during an outage", known(view.Serving))
	await(t, 2*time.Second, "configuration and balancers received", func() bool { return configs.Load() == 3 && balancers.Load() == 1 })
	s.SetFaults(store.Faults{})
	object := func(want view.State) func() bool {
		return func() bool {
			var o entryObject
			l, err := plat.New(srv.URL, time.Second).List(t.Context(), plat.KindEndpoint)
			return err == nil && len(l.Objects) == 1 && json.Unmarshal(l.Objects[0].Value, &o) == nil && o.State == want
		}
	}
	await(t, 10*time.Second, "platform object after the outage", object(view.Serving))
	n.SetState(view.Draining)
	await(t, time.Second, "balancer knows the state draining", known(view.Draining))
	await(t, 2*time.Second, "platform object with the state draining", object(view.Draining))
	s.SetFaults(store.Faults{Outage: true})
	begin := time.Now()
	cancel()
	<-ended
	if d := time.Since(begin); d > goneAnnounceTimeout+300*time.Millisecond {
		t.Errorf("exit took %v while the platform was down", d)
	}
	await(t, time.Second, "balancer knows the state gone", known(view.Gone))
}
