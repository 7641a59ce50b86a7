package itest

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/agent"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestAddressReuse guards against misrouting when the address of an agent is reused by
// another service while the balancers have outdated views. They are frozen during the
// change and resume with packets for the old service in their sockets. The platform
// is down during the whole test.
func TestAddressReuse(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas", "fichas"), 2, map[string]int{"listas": 2, "fichas": 1})
	old := s.Agents["listas"][0]
	feeds := s.OpenFeeds(s.Client(), "listas", 20, 20*time.Millisecond)
	tr := s.startTraffic("listas", 2)
	c.Store.SetFaults(store.Faults{Outage: true})
	for _, b := range s.Balancers {
		b.Freeze()
	}
	old.Kill()
	s.RemoveAgent("listas", old)
	reused := s.AddAgent("fichas", time.Millisecond, func(a *config.Agent) { a.HopAddress = old.Hop })
	reused.Hop = old.Hop
	s.Eventually(10*time.Second, "the new agent runs", func() bool {
		var st agent.State
		return reused.State(&st) == nil
	})
	for range 10 { // first packets of new flows, to be forwarded by the outdated views
		go func() {
			req, _ := http.NewRequest(http.MethodGet, s.URL("listas", "/echo"), nil)
			req.Header.Set("X-Service", "listas")
			if resp, err := s.Client().Do(req); err == nil {
				resp.Body.Close()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	for _, b := range s.Balancers {
		b.Resume()
	}
	s.WaitReady()
	time.Sleep(time.Second)
	tr.finish()
	feeds.Close()
	var st agent.State
	if err := reused.State(&st); err != nil {
		t.Fatal(err)
	}
	t.Logf("refused by the new agent: %v", st.Refused)
	wrong := uint64(0)
	for reason, n := range st.Refused {
		if strings.Contains(reason, "wrongService") {
			wrong += n
		}
	}
	if wrong == 0 {
		t.Error("no packet of the other service arrived, so the test did not cause the fault")
	}
	if n := s.Misrouted(); n != 0 {
		t.Errorf("want no misrouted request, have %d", n)
	}
}

// TestReplayedPackets guards against misrouting of recorded packets that are sent to
// the address of another service, and against repeated requests when they are sent to
// the same service again.
func TestReplayedPackets(t *testing.T) {
	c := NewCluster(t, binary)
	d := Declaration(4, "listas", "fichas")
	s := NewDeployment(c, d, 2, map[string]int{"listas": 2, "fichas": 2})
	f := s.Fabrics["listas"]
	f.Record(4000)
	tr := s.startTraffic("listas", 2)
	time.Sleep(time.Second)
	tr.finish()
	packets := f.Recorded()
	if len(packets) < 1000 {
		t.Fatalf("want at least 1000 recorded packets, have %d", len(packets))
	}
	before := 0
	for _, a := range s.Agents["listas"] {
		before += a.Stub.Counts().Requests
	}
	for _, p := range packets {
		for _, service := range []string{"fichas", "listas"} {
			if err := f.Replay(p, s.serviceAddr(d, service, s.Balancers[0])); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.Eventually(10*time.Second, "the balancer counts packets for the wrong service", func() bool {
		var st relay.State
		return s.Balancers[0].State(&st) == nil && st.Counts["wrongService"] > 0
	})
	time.Sleep(500 * time.Millisecond)
	for _, a := range s.Agents["fichas"] {
		if st := a.Stub.Counts(); st.Requests != 0 {
			t.Errorf("%s: want no request, have %d, misrouted %d", a.Name, st.Requests, st.Misrouted)
		}
	}
	after := 0
	for _, a := range s.Agents["listas"] {
		after += a.Stub.Counts().Requests
	}
	if after != before {
		t.Errorf("want no request run from replayed packets, have %d", after-before)
	}
}

// serviceAddr returns the address at which a balancer receives packets for a service.
func (s *Deployment) serviceAddr(d *decl.Declaration, service string, b *Process) netip.AddrPort {
	for _, v := range d.Services {
		if v.Name == service {
			return netip.AddrPortFrom(netip.MustParseAddr(b.CallerIP), netip.MustParseAddrPort(v.Address).Port())
		}
	}
	s.T.Fatalf("service %s is not declared", service)
	return netip.AddrPort{}
}
