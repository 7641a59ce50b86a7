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
	// updateLimit is how long the callers wait for the answer to an update.
	updateLimit = time.Second
	// patientLimit lets a caller give up a dead flow, which takes 5 s, and repeat
	// its ticket on another, where it meets another agent.
	patientLimit = 9 * time.Second
)

// TestAtMostOnce guards promises 3, 4 and 5: whatever is lost, doubled, late,
// frozen or killed, an update runs at most once, and what the caller is told
// about it is true.
func TestAtMostOnce(t *testing.T) {
	pulses := func(s *Deployment, up, down fabric.Faults) {
		// Flows open first, so that the faults meet updates in progress.
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
		// wantUnknown is true when the fault must leave some outcomes open.
		wantUnknown bool
	}{
		{"lost answers", func(s *Deployment) { pulses(s, fabric.Faults{}, fabric.Faults{Loss: 1}) }, updateLimit, false},
		{"duplicates out of order", func(s *Deployment) {
			f := fabric.Faults{Duplicate: 0.5, Jitter: 20 * time.Millisecond}
			pulses(s, f, f)
		}, updateLimit, false},
		{"loss in both directions", func(s *Deployment) {
			pulses(s, fabric.Faults{Loss: 0.3}, fabric.Faults{Loss: 0.3})
		}, updateLimit, false},
		{"frozen agent", func(s *Deployment) {
			for range 2 {
				a := s.updating("listas")
				a.Freeze()
				time.Sleep(2 * updateLimit)
				a.Resume()
				time.Sleep(500 * time.Millisecond)
			}
		}, updateLimit, true},
		{"killed agent", func(s *Deployment) {
			for range 2 {
				time.Sleep(300 * time.Millisecond)
				a := s.updating("listas")
				a.Kill()
				s.RemoveAgent("listas", a)
				time.Sleep(1500 * time.Millisecond)
			}
		}, updateLimit, true},
		{"killed agent and patient callers", func(s *Deployment) {
			for range 2 {
				time.Sleep(300 * time.Millisecond)
				a := s.updating("listas")
				a.Kill()
				s.RemoveAgent("listas", a)
			}
			time.Sleep(patientLimit)
		}, patientLimit, true},
		{"upstream fails after running", func(s *Deployment) {
			for range 2 {
				s.setFail(stub.FailAfter)
				time.Sleep(400 * time.Millisecond)
				s.setFail(stub.FailNever)
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
			s.setFail(stub.FailNever)
			tr := s.startUpdates("listas", 16, c.limit)
			c.run(s)
			tr.end()
			t.Logf("told: %v", tr.ok)
			tr.check(s, all)
			if tr.ok[OutcomeDone] == 0 || tr.ok[OutcomeOther] != 0 {
				t.Errorf("want updates done and none without an outcome, have %v", tr.ok)
			}
			if c.wantUnknown && tr.ok[OutcomeUnknown]+tr.ok[OutcomeNotRun] == 0 {
				t.Error("the fault touched no update")
			}
		})
	}
}

// updating returns the agent whose upstream runs the most updates, once there is
// one. The flows of 16 callers leave one of four agents idle in one run of a
// hundred, and a fault there touches no update.
func (s *Deployment) updating(service string) *Process {
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

// setFail makes the upstreams of listas fail updates, or not.
func (s *Deployment) setFail(f stub.UpdateFail) {
	for _, a := range s.Agents["listas"] {
		a.Stub.SetSettings(stub.Settings{WorkMillis: 1, UpdateDelayMillis: 20, UpdateFail: f})
	}
}

// TestTicketStoreFull guards the bound on tickets: at the bound the agent
// refuses new tickets as not run, and those issued before still run once.
func TestTicketStoreFull(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 1, map[string]int{"listas": 1})
	tr := s.plain()
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
				t.Fatalf("want a refusal as not run, have status %d and %q", resp.StatusCode, resp.Header)
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
			t.Errorf("ticket issued before the bound: status %d, %v", resp.StatusCode, resp.Header)
		}
	}
	if n := s.Agents["listas"][0].Stub.Counts().Runs["first"]; n != 1 {
		t.Errorf("want one run, have %d", n)
	}
	var st agent.State
	if err := s.Agents["listas"][0].State(&st); err != nil {
		t.Fatal(err)
	}
	t.Logf("tickets held: %+v", st.Tickets)
}

// ticketOf decodes the answer to a request for a ticket.
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
