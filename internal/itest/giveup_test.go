package itest

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/stub"
	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// TestKilledAgentGivenUp guards callers without deadlines against waiting forever on
// a flow whose agent was killed. Within 7 s each is told that the outcome is unknown;
// a caller with a ticket gets that answer from another agent.
func TestKilledAgentGivenUp(t *testing.T) {
	const limit = 7 * time.Second
	s := NewDeployment(NewCluster(t, binary), Declaration(8, "listas"), 2, map[string]int{"listas": 1})
	old := s.Agents["listas"][0]
	old.Stub.SetSettings(stub.Settings{WorkMillis: 60_000, UpdateDelayMillis: 60_000})
	client := s.Client()
	type end struct {
		method string
		err    error
		at     time.Time
	}
	ends := make(chan end)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	send := func(method, path string) {
		req, _ := http.NewRequestWithContext(ctx, method, s.URL("listas", path), nil)
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		ends <- end{method, err, time.Now()}
	}
	for range 4 {
		go send(http.MethodGet, "/echo")
		go send(http.MethodPost, "/update")
	}
	s.Eventually(readyTimeout, "requests running", func() bool { return old.Stub.Counts().Requests == 8 })
	s.AddAgent("listas", time.Millisecond)
	s.WaitReady()
	s.RemoveAgent("listas", old)
	old.Kill()
	killed := time.Now()
	for range 8 {
		select {
		case e := <-ends:
			var unknown *caller.UnknownError
			answered := e.method == http.MethodPost
			if !errors.As(e.err, &unknown) || unknown.Answered != answered {
				t.Errorf("%s: want unknown, answered %v, have %v", e.method, answered, e.err)
			}
			t.Logf("%s after %v: %v", e.method, e.at.Sub(killed), e.err)
		case <-time.After(limit - time.Since(killed)):
			t.Fatalf("a caller was not told within %v", limit)
		}
	}
}
