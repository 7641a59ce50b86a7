// Command 13 restarts three of the four balancers of a deployment as planned, three at a time,
// while callers use open flows.
package main

import (
	"fmt"
	"math/rand/v2"
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
	callers   = 1500
	// atOnce of the balancers are restarted at a time.
	balancers, atOnce = 4, 3
	// rounds is the number of restarts, gap the time between two of them.
	rounds, gap = 7, 2 * time.Second
	// maxAge is the age up to which a flow gets new requests; flows of up to 60 s count.
	maxAge = 40 * time.Second
	// A flow pauses for up to maxPause between two requests.
	maxPause = 3 * time.Second
	deadline = 6 * time.Second
	// work is the time that an upstream takes for a request.
	work = 5 * time.Millisecond
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// calm is about the time of a restart; without the disruption, the play waits that long.
	calm = 5500 * time.Millisecond
	// storeDelay is the time that an answer of the store takes.
	storeDelay = 4 * time.Millisecond
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
	s.Work = work
	s.Store.SetFaults(standin.Faults{Delay: storeDelay})
	s.Configure(s.ConfigSpec(3, s.RouteSpec("feed", routePort, service, "idempotent")))
	if err := s.StartBalancers(balancers); err != nil {
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
	time.Sleep(5 * time.Second)
	c, err := standin.StartCaller(s.CallerAddr(0), s.StartRouter().BalancerFor, func(invariant, detail string) { s.Logf("%s: %s", invariant, detail) })
	if err != nil {
		return err
	}
	over := make(chan struct{})
	var (
		wg           sync.WaitGroup
		mu           sync.Mutex
		served, sent int
	)
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, m := call(s, c, over)
			mu.Lock()
			defer mu.Unlock()
			served, sent = served+n, sent+m
		}()
	}
	for range rounds {
		time.Sleep(gap)
		if s.Trouble() {
			restartSome(s)
		} else {
			time.Sleep(calm)
		}
	}
	time.Sleep(gap)
	close(over)
	wg.Wait()
	s.Logf("%d of %d requests were served", served, sent)
	if served < sent/2 {
		return fmt.Errorf("only %d of %d requests were served", served, sent)
	}
	return nil
}

// restartSome restarts atOnce balancers at a time.
func restartSome(s *stage.Stage) {
	var wg sync.WaitGroup
	for _, b := range s.Balancers[:atOnce] {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := b.Restart(restartDelay); err != nil {
				s.Logf("%v", err)
			}
		}()
	}
	wg.Wait()
}

// call opens flows and sends requests on them until the play is over.
func call(s *stage.Stage, c *standin.Caller, over <-chan struct{}) (served, sent int) {
	for n := 0; ; n++ {
		select {
		case <-over:
			return served, sent
		case <-time.After(rand.N(time.Second)):
		}
		f, o := c.Open(s.Route(routePort))
		if o != standin.Served {
			continue
		}
		for began := time.Now(); o == standin.Served && time.Since(began) < maxAge; {
			select {
			case <-over:
				f.Close(true)
				return served, sent
			default:
			}
			id := fmt.Sprintf("%s-%d-%d", f.Addr, n, sent)
			sent++
			if o = f.Request(service, id, 100, deadline); o == standin.Served {
				served++
				o = f.Idle(rand.N(maxPause), over)
			}
		}
		judge(s, f, o)
		f.Close(o == standin.Served)
	}
}

// judge records how a flow ended. A reset of a flow that its upstream holds breaks the rule.
func judge(s *stage.Stage, f *standin.Flow, o standin.Outcome) {
	holder := ""
	for _, a := range s.Agents {
		if since, holds := a.Upstream.OpenSince(flow.KeyOf(f.Addr, f.Route)); holds {
			holder = fmt.Sprintf("%s for %v", a.Upstream.ID(), time.Since(since).Round(time.Millisecond))
		}
	}
	switch {
	case o == standin.Reset && holder != "":
		s.Breakf("FLOW: %s>%s, open at %s, was reset by %s", f.Addr, f.Route, holder, f.ResetBy)
	case o != standin.Served:
		s.Logf("%s>%s: outcome %d, open at %q", f.Addr, f.Route, o, holder)
	}
}
