package itest

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestEvacuatedPlace guards the promises of an evacuation with real processes: no new
// flow reaches the place within the time of any configuration, an open feed stays, a
// service without another place refuses new flows as not run at once, and the place
// gets flows again when it is taken back.
func TestEvacuatedPlace(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 2, nil)
	at := func(place string) *Process {
		return s.AddAgent("listas", time.Millisecond, func(a *config.Agent) { a.Place = place })
	}
	left, stays := at("recife"), at("fortaleza")
	s.WaitReady()
	end := s.holdFeed(left)
	defer end()
	feeds := left.Stub.Counts().Feeds
	apply := func(g uint64, places ...decl.PlaceName) {
		t.Helper()
		if out, err := s.applyCommand("evacuate", Declaration(4, "listas").Evacuate(places...)).CombinedOutput(); err != nil {
			t.Fatalf("apply: %v: %s", err, out)
		}
		s.waitGeneration(g, s.Balancers...)
	}
	apply(2, "recife")
	before := left.Stub.Counts().Requests
	if done, failed := s.sendOnNewFlows(2 * time.Second); done == 0 || failed != 0 {
		t.Errorf("want all requests served by the other place, have %d done and %d failed", done, failed)
	}
	if n := left.Stub.Counts().Requests - before; n != 0 {
		t.Errorf("want no request at the evacuated place, have %d", n)
	}

	apply(3, "recife", "fortaleza")
	client := s.Client()
	begin := time.Now()
	req, err := http.NewRequest(http.MethodGet, s.URL("listas", "/echo"), nil)
	s.must(err)
	_, err = client.Do(req)
	var notRun *caller.NotRunError
	if took := time.Since(begin); !errors.As(err, &notRun) || took > time.Second {
		t.Errorf("want the request not run at once, have %v after %v", err, took)
	}
	if n := stays.Stub.Counts().Feeds; left.Stub.Counts().Feeds != feeds || n != 0 {
		t.Errorf("want the feed open where it was, have %d there and %d elsewhere", left.Stub.Counts().Feeds, n)
	}

	apply(4)
	s.Eventually(inForceTimeout, "new flows return", func() bool {
		s.sendOnNewFlows(50 * time.Millisecond)
		return left.Stub.Counts().Requests > before
	})
}
