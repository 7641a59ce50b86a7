package trace

import (
	"strings"
	"testing"
	"time"
)

const balancerLog = `time="2026-07-08T05:21:20.000Z" level=info msg="balancer started" event=start node=edge-1 role=balancer
time="2026-07-08T05:21:21.000Z" level=info msg="configuration in force" event=configuration generation=7 node=edge-1
time="2026-07-08T05:21:22.000Z" level=warning msg="agent does not answer" agent="10.0.0.5:8000" event=agentDown node=edge-1
time="2026-07-08T05:21:23.000Z" level=info msg="cut
time="2026-07-08T05:21:24.100Z" level=info msg="no upstream for a new flow" event=openingRejected flow="100.64.0.1:4000>198.18.0.1:443" node=edge-1 outcome=reset usable=0
time="2026-07-08T05:21:24.200Z" level=info msg="x" event=openingRejected flow="100.64.0.2:4000>198.18.0.1:443" node=edge-1 outcome=reset
`

const agentLog = `time="2026-07-08T05:21:26.050Z" level=info msg="opening packet waited in vain" event=openingGivenBack flow="100.64.0.1:4000>198.18.0.1:443" node=side-1 outcome=deadline waiting=9
`

// TestTrace guards the order of decisions from nodes whose clocks differ, and the
// state changes listed with each decision.
func TestTrace(t *testing.T) {
	r := New("100.64.0.1:4000", map[string]time.Duration{"side-1": 2 * time.Second})
	for _, log := range []string{balancerLog, agentLog} {
		if err := r.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	steps := r.Steps()
	if len(steps) != 2 || steps[0].Node != "side-1" || steps[1].Node != "edge-1" {
		t.Fatalf("have %+v", steps)
	}
	if n := len(steps[1].Beliefs); n != 3 {
		t.Errorf("want 3 state changes, have %d", n)
	}
	var b strings.Builder
	if err := r.Print(&b); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"outcome=deadline", "outcome=reset", "2.100s before: agent=10.0.0.5:8000 event=agentDown", "1 lines were skipped"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("want %q in:\n%s", want, b.String())
		}
	}
}

// TestNoMatchingLines guards against empty output for a flow of which no line was
// logged.
func TestNoMatchingLines(t *testing.T) {
	r := New("100.64.0.9", nil)
	var b strings.Builder
	if err := r.Print(&b); err != nil || !strings.Contains(b.String(), "no decision") {
		t.Errorf("have %q, %v", b.String(), err)
	}
}
