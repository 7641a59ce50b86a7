package itest

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/agent"
	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

const (
	// updateLimit is the deadline of an update.
	updateLimit = time.Second
	// repeatLimit is long enough for a caller to give up a dead flow, which takes 5 s,
	// and to repeat the request with its ticket on a flow to another agent.
	repeatLimit = 9 * time.Second
)

// TestAtMostOnce guards the guarantees that an update runs at most once and that the
// outcome reported to the caller is true, when packets are lost, duplicated or late
// and agents are frozen or killed.
func TestAtMostOnce(t *testing.T) {
	injectPulses := func(s *Deployment, up, down fabric.Faults) {
		// The flows open before the first fault, so that it affects updates in progress.
		for range 4 {
			time.Sleep(600 * time.Millisecond)
			s.Fabrics["listas"].SetFaults(up, down)
			time.Sleep(400 * time.Millisecond)
			s.Fabrics["listas"].SetFaults(fabric.Faults{}, fabric.Faults{})
		}
		time.Sleep(600 * time.Millisecond)
	}
	for _, c := range []struct {
		name  string
		run   func(s *Deployment)
		limit time.Duration
		// wantUnknown is true if the fault must cause outcomes other than done.
		wantUnknown bool
	}{
		{"lost answers", func(s *Deployment) { injectPulses(s, fabric.Faults{}, fabric.Faults{Loss: 1}) }, updateLimit, false},
		{"duplicates out of order", func(s *Deployment) {
			f := fabric.Faults{Duplicate: 0.5, Jitter: 20 * time.Millisecond}
			injectPulses(s, f, f)
		}, updateLimit, false},
		{"loss in both directions", func(s *Deployment) {
			injectPulses(s, fabric.Faults{Loss: 0.3}, fabric.Faults{Loss: 0.3})
		}, updateLimit, false},
		{"frozen agent", func(s *Deployment) {
			for range 2 {
				a := s.busiestAgent("listas")
				a.Freeze()
				time.Sleep(2 * updateLimit)
				a.Resume()
				time.Sleep(500 * time.Millisecond)
			}
		}, updateLimit, true},
		{"killed agent", func(s *Deployment) {
			for range 2 {
				time.Sleep(300 * time.Millisecond)
				a := s.busiestAgent("listas")
				a.Kill()
				s.RemoveAgent("listas", a)
				time.Sleep(1500 * time.Millisecond)
			}
		}, updateLimit, true},
		{"killed agent and patient callers", func(s *Deployment) {
			for range 2 {
				time.Sleep(300 * time.Millisecond)
				a := s.busiestAgent("listas")
				a.Kill()
				s.RemoveAgent("listas", a)
			}
			time.Sleep(repeatLimit)
		}, repeatLimit, true},
		{"upstream fails after running", func(s *Deployment) {
			for range 2 {
				s.setUpdateFail(stub.FailAfter)
				time.Sleep(400 * time.Millisecond)
				s.setUpdateFail(stub.FailNever)
				time.Sleep(400 * time.Millisecond)
			}
		}, updateLimit, true},
		{"killed agent and lost answers", func(s *Deployment) {
			a := s.Agents["listas"][0]
			s.Fabrics["listas"].SetFaults(fabric.Faults{Loss: 0.1}, fabric.Faults{Loss: 0.5})
			time.Sleep(500 * time.Millisecond)
			a.Kill()
			s.RemoveAgent("listas", a)
			time.Sleep(1500 * time.Millisecond)
			s.Fabrics["listas"].SetFaults(fabric.Faults{}, fabric.Faults{})
			time.Sleep(500 * time.Millisecond)
		}, updateLimit, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 2, map[string]int{"listas": 4})
			all := append([]*Process{}, s.Agents["listas"]...)
			s.setUpdateFail(stub.FailNever)
			tr := s.startUpdates("listas", 16, c.limit)
			c.run(s)
			tr.finish()
			t.Logf("reported outcomes: %v", tr.counts)
			tr.check(s, all)
			if tr.counts[OutcomeDone] == 0 || tr.counts[OutcomeOther] != 0 {
				t.Errorf("want updates done and none with another error, have %v", tr.counts)
			}
			if c.wantUnknown && tr.counts[OutcomeUnknown]+tr.counts[OutcomeNotRun] == 0 {
				t.Error("the fault affected no update")
			}
		})
	}
}

// busiestAgent waits until an update is running and returns the agent whose upstream
// runs the most. A fixed choice would fail: in one run of a hundred the flows of 16
// callers leave one of four agents idle, and a fault there affects no update.
func (s *Deployment) busiestAgent(service string) *Process {
	var busiest *Process
	s.Eventually(10*time.Second, "an update in progress", func() bool {
		most := 0
		for _, a := range s.Agents[service] {
			if n := a.Stub.Counts().Running; n > most {
				busiest, most = a, n
			}
		}
		return most > 0
	})
	return busiest
}

// setUpdateFail sets how the upstreams of listas fail updates.
func (s *Deployment) setUpdateFail(f stub.UpdateFail) {
	for _, a := range s.Agents["listas"] {
		a.Stub.SetSettings(stub.Settings{WorkMillis: 1, UpdateDelayMillis: 20, UpdateFail: f})
	}
}

// TestTicketStoreFull guards the limit on stored tickets: at the limit the agent
// refuses new tickets with the outcome not-run, and a ticket issued before still runs
// exactly once.
func TestTicketStoreFull(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 1, map[string]int{"listas": 1})
	tr := s.plainTransport()
	defer tr.Close()
	client := http.Client{Transport: tr, Timeout: 5 * time.Second}
	post := func(path, ticket, id string) *http.Response {
		req, _ := http.NewRequest(http.MethodPost, s.URL("listas", path), nil)
		req.Header.Set("X-Request-Id", id)
		if ticket != "" {
			req.Header.Set(hdrs.Ticket, ticket)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		return resp
	}
	var tickets []string
	refused := false
	for range 200_000 {
		resp := post(hdrs.TicketPath, "", "")
		b, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusCreated {
			if resp.Header.Get(hdrs.Outcome) != hdrs.NotRun {
				t.Fatalf("want the outcome not-run, have status %d and %q", resp.StatusCode, resp.Header)
			}
			refused = true
			break
		}
		tickets = append(tickets, ticketOf(t, b))
	}
	t.Logf("%d tickets issued", len(tickets))
	if !refused {
		t.Fatal("the agent never refused a ticket")
	}
	for range 2 {
		resp := post("/update", tickets[0], "first")
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.Errorf("ticket issued before the limit: status %d, %v", resp.StatusCode, resp.Header)
		}
	}
	if n := s.Agents["listas"][0].Stub.Counts().Runs["first"]; n != 1 {
		t.Errorf("want one run, have %d", n)
	}
	var st agent.State
	if err := s.Agents["listas"][0].State(&st); err != nil {
		t.Fatal(err)
	}
	t.Logf("tickets stored: %+v", st.Tickets)
}

// ticketOf returns the ticket in the answer to a request for one.
func ticketOf(t *testing.T, b []byte) string {
	t.Helper()
	var a struct {
		Ticket string `json:"ticket"`
	}
	if err := json.Unmarshal(b, &a); err != nil || a.Ticket == "" {
		t.Fatalf("ticket answer %q: %v", b, err)
	}
	return a.Ticket
}
