package itest

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"
)

// TestRollingReplacement guards against broken flows, misrouted requests, incomplete
// answers, repeated updates and aborted requests during planned changes. All balancers
// and upstreams of both services are replaced while 200 feeds are open and downloads
// and updates are sent.
func TestRollingReplacement(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas", "fichas"), 3, map[string]int{"listas": 7, "fichas": 3})
	feeds := s.OpenFeeds(s.Client(), "listas", 140, 200*time.Millisecond)
	sheets := s.OpenFeeds(s.Client(), "fichas", 60, 200*time.Millisecond)
	trafficRuns := []*traffic{s.startTraffic("listas", 3), s.startTraffic("fichas", 2)}
	all := append([]*Process{}, s.Agents["listas"]...)
	all = append(all, s.Agents["fichas"]...)
	var ending []*Process
	for _, service := range []string{"listas", "fichas"} {
		for _, old := range append([]*Process{}, s.Agents[service]...) {
			all = append(all, s.AddAgent(service, time.Millisecond))
			s.WaitReady()
			old.Terminate()
			s.RemoveAgent(service, old)
			ending = append(ending, old)
		}
	}
	for _, old := range append([]*Process{}, s.Balancers...) {
		s.AddBalancer()
		s.WaitReady()
		s.RemoveBalancer(old)
		old.Terminate()
		ending = append(ending, old)
	}
	for _, p := range ending {
		p.WaitExit(30 * time.Second)
	}
	for i, f := range []*Feeds{feeds, sheets} {
		r := f.Report()
		t.Logf("feeds %d: %+v", i, r)
		if len(r.Faults) > 0 || r.Breaks > 0 {
			t.Errorf("want no broken feed, have %d breaks and %v", r.Breaks, r.Faults)
		}
		f.Close()
	}
	for _, tr := range trafficRuns {
		tr.finish()
		t.Logf("traffic: %v", tr.counts)
		for _, f := range tr.faults {
			t.Error(f)
		}
		if tr.counts[OutcomeUnknown] > 0 {
			t.Errorf("want no update with an unknown outcome, have %d", tr.counts[OutcomeUnknown])
		}
		tr.check(s, all)
	}
}

// TestPlainClientDrain guards against a planned stop that aborts a request of a client
// without the caller library: a terminated agent finishes an open feed before it exits.
func TestPlainClientDrain(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 2, map[string]int{"listas": 1})
	old := s.Agents["listas"][0]
	tr := &http3.Transport{TLSClientConfig: c.CallerTLS()}
	defer tr.Close()
	resp, err := (&http.Client{Transport: tr}).Get(s.URL("listas", "/feeds/prices?everyMillis=100&count=60"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	s.AddAgent("listas", time.Millisecond)
	s.WaitReady()
	old.Terminate()
	b, err := io.ReadAll(resp.Body)
	if n := strings.Count(string(b), "\ndata: "); err != nil || n != 60 {
		t.Errorf("want 60 events and a clean end, have %d and %v", n, err)
	}
	old.WaitExit(40 * time.Second)
}

// TestBalancerKilled guards against broken flows when a balancer is killed, also when
// it happens a second time.
func TestBalancerKilled(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 3, map[string]int{"listas": 3})
	feeds := s.OpenFeeds(s.Client(), "listas", 100, 50*time.Millisecond)
	for range 2 {
		feeds.ResetSilence()
		victim := s.Balancers[0]
		victim.Kill()
		time.Sleep(500 * time.Millisecond) // the fabric's delay in noticing
		s.RemoveBalancer(victim)
		time.Sleep(2500 * time.Millisecond)
		r := feeds.Report()
		t.Logf("longest silence at a caller %v, moves %d, breaks %d", r.LongestSilence, r.Moves, r.Breaks)
		if len(r.Faults) > 0 || r.Breaks > 0 {
			t.Errorf("want no broken feed, have %d breaks and %v", r.Breaks, r.Faults)
		}
		s.AddBalancer()
	}
	feeds.Close()
}

// TestBrokenOffAnswer guards against an incomplete answer that looks complete: when an
// upstream closes the connection within an answer of unknown length, the caller must
// get an error.
func TestBrokenOffAnswer(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 1, map[string]int{"listas": 1})
	tr := s.plainTransport()
	defer tr.Close()
	resp, err := (&http.Client{Transport: tr}).Get(s.URL("listas", "/feeds/prices?everyMillis=20"))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if _, err := resp.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	s.Agents["listas"][0].stubSrv.CloseClientConnections()
	if _, err := io.ReadAll(resp.Body); err == nil {
		t.Error("an incomplete answer ended without an error")
	}
}
