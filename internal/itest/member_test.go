package itest

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// sendOnNewFlows sends requests to listas one after another for the duration d, each
// on a flow of its own.
func (s *Deployment) sendOnNewFlows(d time.Duration) (done, failed int) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		c := caller.New(caller.WithTLS(s.CallerTLS()), caller.WithDialTimeout(3*time.Second))
		req, _ := http.NewRequest(http.MethodPost, s.URL("listas", "/echo"), strings.NewReader("x"))
		req.Header.Set("X-Service", "listas")
		resp, err := c.Do(req)
		if err != nil {
			failed++
		} else {
			resp.Body.Close()
			done++
		}
		c.Close()
	}
	return done, failed
}

// TestLeavingUpstream guards the guarantee that a leaving upstream receives no new
// work after 3 s, with the platform up or down.
func TestLeavingUpstream(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage=%v", outage), func(t *testing.T) {
			c := NewCluster(t, binary)
			s := NewDeployment(c, Declaration(4, "listas"), 2, map[string]int{"listas": 2})
			old := s.Agents["listas"][0]
			// An open feed keeps the leaving agent running during the test.
			feed := s.holdFeed(old)
			defer feed()
			c.Store.SetFaults(store.Faults{Outage: outage})
			old.Terminate()
			s.sendOnNewFlows(3 * time.Second)
			before := old.Stub.Counts().Requests
			done, failed := s.sendOnNewFlows(2 * time.Second)
			if n := old.Stub.Counts().Requests - before; n != 0 {
				t.Errorf("want no request at the leaving upstream after 3 s, have %d", n)
			}
			if done == 0 || failed != 0 {
				t.Errorf("want all requests served by the other, have %d done and %d failed", done, failed)
			}
		})
	}
}

// holdFeed opens a feed of a plain client at the given agent; end closes it.
func (s *Deployment) holdFeed(at *Process) (end func()) {
	s.T.Helper()
	for range 50 {
		tr := s.plainTransport()
		resp, err := (&http.Client{Transport: tr}).Get(s.URL("listas", "/feeds/prices?everyMillis=100"))
		if err != nil {
			s.T.Fatal(err)
		}
		if at.Stub.Counts().Feeds > 0 {
			return func() { resp.Body.Close(); tr.Close() }
		}
		resp.Body.Close()
		tr.Close()
	}
	s.T.Fatal("no flow reached the agent")
	return nil
}

// TestKilledUpstream guards against new flows to a killed agent after 2 s, also when a
// second one is killed.
func TestKilledUpstream(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 3, map[string]int{"listas": 4})
	for range 2 {
		victim := s.Agents["listas"][0]
		victim.Kill()
		killed := time.Now()
		s.RemoveAgent("listas", victim)
		for _, b := range s.Balancers {
			s.Eventually(2*time.Second-time.Since(killed), b.Name+" sends no new flows to the killed agent", func() bool {
				return !s.UsableAgents(b)[victim.Hop]
			})
		}
		t.Logf("no new flows after %v", time.Since(killed))
		if done, failed := s.sendOnNewFlows(time.Second); done == 0 || failed != 0 {
			t.Errorf("want all requests served, have %d done and %d failed", done, failed)
		}
	}
}

// TestUnconfiguredUpstream guards against new flows to an agent that is listed on the
// platform but has no session with a balancer. It has no configuration, so it does
// not know its limits and streaming paths.
func TestUnconfiguredUpstream(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 2, map[string]int{"listas": 1})
	unconfigured := s.AddAgent("listas", time.Millisecond, func(a *config.Agent) { a.Balancers = []string{"127.0.0.1:9"} })
	s.RemoveAgent("listas", unconfigured)
	s.Eventually(10*time.Second, "the platform holds both agents", func() bool {
		return c.Store.Len("endpoint") == 2
	})
	if done, failed := s.sendOnNewFlows(3 * time.Second); done == 0 || failed != 0 {
		t.Errorf("want all requests served, have %d done and %d failed", done, failed)
	}
	if n := unconfigured.Stub.Counts().Requests; n != 0 {
		t.Errorf("want no request at the agent without a configuration, have %d", n)
	}
	for _, b := range s.Balancers {
		if s.UsableAgents(b)[unconfigured.Hop] {
			t.Errorf("%s uses the agent without a configuration", b.Name)
		}
	}
}

// TestFrozenUpstream guards against new flows to a frozen agent after 2 s, and against
// the agent staying unused after it resumes.
func TestFrozenUpstream(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 3, map[string]int{"listas": 3})
	victim := s.Agents["listas"][0]
	victim.Freeze()
	defer victim.Resume()
	frozen := time.Now()
	for _, b := range s.Balancers {
		s.Eventually(2*time.Second-time.Since(frozen), b.Name+" sends no new flows to the frozen agent", func() bool {
			return !s.UsableAgents(b)[victim.Hop]
		})
	}
	if done, failed := s.sendOnNewFlows(time.Second); done == 0 || failed != 0 {
		t.Errorf("want all requests served, have %d done and %d failed", done, failed)
	}
	victim.Resume()
	s.WaitReady()
}

// TestOutageMembership guards membership while the platform is down for longer than
// its timeouts: a new agent gets requests, a new balancer forwards them, and the views
// converge once the platform is up again.
func TestOutageMembership(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 2, map[string]int{"listas": 1})
	c.Store.SetFaults(store.Faults{Outage: true})
	time.Sleep(3 * time.Second) // longer than the platform's request timeout of 2 s
	a := s.AddAgent("listas", time.Millisecond)
	s.WaitReady()
	b := s.AddBalancer()
	s.WaitReady()
	s.Balancers = []*Process{b}
	s.SetFabricTargets(b)
	if done, failed := s.sendOnNewFlows(2 * time.Second); done == 0 || failed != 0 {
		t.Errorf("want all requests served through the new balancer, have %d done and %d failed", done, failed)
	}
	if a.Stub.Counts().Requests == 0 {
		t.Error("the agent that joined during the outage got no request")
	}
	c.Store.SetFaults(store.Faults{})
	s.Eventually(20*time.Second, "the platform holds both agents", func() bool {
		return c.Store.Len("endpoint") == 2
	})
	s.waitConverged()
}

// waitConverged waits until all balancers have the same view.
func (s *Deployment) waitConverged() {
	s.T.Helper()
	s.Eventually(10*time.Second, "views converge", func() bool {
		roots := map[uint64]bool{}
		for _, b := range s.Balancers {
			var st relay.State
			if b.State(&st) != nil {
				return false
			}
			roots[st.Root] = true
		}
		return len(roots) == 1
	})
}

// TestUnevenViews guards the exchange of views between balancers when one has no
// platform and an agent has a session with only one balancer and no platform. The
// views must converge, and no entry may revert to an older one.
func TestUnevenViews(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas", "fichas"), 2, map[string]int{"listas": 2, "fichas": 1})
	withoutPlatform := func(b *config.Balancer) { b.Platform.URL = "http://127.0.0.1:9" }
	s.AddBalancer(withoutPlatform)
	s.AddAgent("listas", time.Millisecond, func(a *config.Agent) {
		a.Platform.URL = "http://127.0.0.1:9"
		a.Balancers = a.Balancers[:1]
	})
	s.WaitReady()
	s.waitConverged()
	seqs := map[string]uint64{}
	for range 50 {
		for _, b := range s.Balancers {
			var st relay.State
			if err := b.State(&st); err != nil {
				t.Fatal(err)
			}
			for _, e := range st.Endpoints {
				key := b.Name + " " + fmt.Sprint(e.Key)
				if uint64(e.Seq) < seqs[key] {
					t.Errorf("%s: seq went back from %d to %d", key, seqs[key], e.Seq)
				}
				seqs[key] = uint64(e.Seq)
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
