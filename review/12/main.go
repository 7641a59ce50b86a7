// Command 12 sends an agent a heartbeat of another writer, in which fields are missing, and
// then uses the open flows of the upstream beside it.
package main

import (
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/platform/standin"
	"github.com/bramleycourse/bramleycourse/review/stage"
)

const (
	service   = "listas"
	routePort = 8443
	flows     = 60
	deadline  = 3 * time.Second
)

func main() {
	s, err := stage.New()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(stage.CouldNotRun)
	}
	os.Exit(s.Close(play(s)))
}

func play(s *stage.Stage) error {
	s.Configure(s.ConfigSpec(3, s.RouteSpec("feed", routePort, service, "idempotent")))
	if err := s.StartBalancers(3); err != nil {
		return err
	}
	if err := s.StartAgents(service, service, service); err != nil {
		return err
	}
	for _, b := range s.Balancers {
		if err := b.Ready(8 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(6 * time.Second)
	open, err := openFlows(s)
	if err != nil {
		return err
	}
	// Nothing is disrupted for longer than the stable window.
	time.Sleep(5 * time.Second)
	if s.Trouble() {
		oddHeartbeat(s, s.Agents[0])
	}
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	for n, f := range open {
		wg.Add(1)
		go func() {
			defer wg.Done()
			request(s, f, fmt.Sprintf("second-%d", n), true)
		}()
	}
	wg.Wait()
	return nil
}

// openFlows opens flows and sends a request on each.
func openFlows(s *stage.Stage) (open []*standin.Flow, err error) {
	c, err := standin.StartCaller(s.CallerAddr(0), func(from, to netip.AddrPort) (netip.AddrPort, bool) {
		return s.HopAddr(int(flow.KeyOf(from, to).Hash() % uint64(len(s.Balancers)))), true
	}, func(invariant, detail string) { s.Logf("%s: %s", invariant, detail) })
	if err != nil {
		return nil, err
	}
	for n := range flows {
		f, o := c.Open(s.Route(routePort))
		if o != standin.Served {
			return nil, fmt.Errorf("flow %d did not open: outcome %d", n, o)
		}
		if o := request(s, f, fmt.Sprintf("first-%d", n), false); o != standin.Served {
			return nil, fmt.Errorf("the first request of flow %d was not served: outcome %d", n, o)
		}
		open = append(open, f)
	}
	return open, nil
}

// oddHeartbeat sends an agent a heartbeat of another writer: it names the VM's address and
// service, but lacks Zone and Version.
func oddHeartbeat(s *stage.Stage, a *stage.Process) {
	body := fmt.Sprintf(`{"Service":%q,"Address":%q,"Capacity":4,"State":"ready","WarmupLeftMs":0,"Seq":1,"born":%d}`,
		a.Service, a.App(), time.Now().UnixMilli())
	status := standin.PostReport(a.Control(), "other-writer", "heartbeat", body)
	s.Logf("POST /instances/other-writer/heartbeat to %s: %s -> %d", a.Name, body, status)
}

// request sends a request. A reset of a flow that its upstream holds breaks the rule.
func request(s *stage.Stage, f *standin.Flow, id string, judged bool) standin.Outcome {
	o := f.Request(service, id, 100, deadline)
	holder, runs := "none", 0
	for _, a := range s.Agents {
		if _, holds := a.Upstream.OpenSince(flow.KeyOf(f.Addr, f.Route)); holds {
			holder = a.Upstream.ID()
		}
		runs += a.Upstream.Runs(id)
	}
	name := [...]string{standin.Served: "served", standin.Reset: "reset", standin.Unopened: "unopened", standin.Expired: "not answered"}[o]
	s.Logf("request %s on %s>%s: %s, open at %s, run %d times", id, f.Addr, f.Route, name, holder, runs)
	if judged && o == standin.Reset && holder != "none" {
		s.Breakf("FLOW: %s>%s, open at %s, was reset by %s", f.Addr, f.Route, holder, f.ResetBy)
	}
	return o
}
