package itest

import (
	"testing"
	"time"
)

// TestSilentPath guards flows against a network path that loses its state: all packets
// of the current caller addresses are dropped while new addresses work. The caller
// library migrates each flow to a new socket and no flow breaks. It happens twice.
func TestSilentPath(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 3, map[string]int{"listas": 2})
	client := s.Client()
	feeds := s.OpenFeeds(client, "listas", 20, 50*time.Millisecond)
	f := s.Fabrics["listas"]
	for range 2 {
		feeds.ResetSilence()
		for _, a := range f.Callers() {
			f.ForgetCaller(a)
		}
		if done, failed := s.sendOnNewFlows(500 * time.Millisecond); done == 0 || failed > 0 {
			t.Errorf("new flows during the fault: %d done, %d failed", done, failed)
		}
		time.Sleep(4 * time.Second)
		r := feeds.Report()
		st := client.Stats()
		t.Logf("longest silence %v, migrations %d, breaks %d", r.LongestSilence, st.Migrations, r.Breaks)
		if len(r.Faults) > 0 || r.Breaks > 0 || st.BrokenFlows > 0 {
			t.Errorf("want no broken flow, have %d breaks, %d broken and %v", r.Breaks, st.BrokenFlows, r.Faults)
		}
	}
	if n := client.Stats().Migrations; n < 40 {
		t.Errorf("want 20 flows moved twice, have %d migrations", n)
	}
	feeds.Close()
}
