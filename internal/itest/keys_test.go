package itest

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/relay"
)

// rotate runs a step of the key rotation and waits until every process has
// read the file again; n counts the steps.
func (s *Deployment) rotate(n int, args ...string) {
	s.T.Helper()
	out, err := exec.Command(s.Binary, append([]string{"keys"}, args...)...).CombinedOutput()
	if err != nil {
		s.T.Fatalf("keys %v: %v: %s", args, err, out)
	}
	processes := append([]*Process{}, s.Balancers...)
	for _, as := range s.Agents {
		processes = append(processes, as...)
	}
	for _, p := range processes {
		s.Eventually(5*time.Second, fmt.Sprintf("%s has read the keys of step %d", p.Name, n), func() bool {
			log, err := os.ReadFile(filepath.Join(s.Dir, p.Name+".log"))
			return err == nil && bytes.Count(log, []byte("keys replaced")) == n
		})
	}
}

// unknownKeys sums the packets that balancers refused because of their key.
func (s *Deployment) unknownKeys() uint64 {
	var n uint64
	for _, b := range s.Balancers {
		var st relay.State
		if b.State(&st) == nil {
			n += st.Counts["unknownKey"]
		}
	}
	return n
}

// settledUnknownKeys waits until no packet was refused for half a second, or
// for 5 s, and returns the count.
func (s *Deployment) settledUnknownKeys() uint64 {
	n, since := s.unknownKeys(), time.Now()
	for end := since.Add(5 * time.Second); time.Now().Before(end) && time.Since(since) < 500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if m := s.unknownKeys(); m != n {
			n, since = m, time.Now()
		}
	}
	return n
}

// unbroken checks that feeds have neither failed, moved nor broken.
func (s *Deployment) unbroken(what string, f *Feeds) {
	s.T.Helper()
	r := f.Report()
	s.T.Logf("%s: %+v", what, r)
	if len(r.Faults) != 0 || r.Breaks != 0 || r.Moves != 0 || r.Events == 0 {
		s.T.Errorf("%s: want all feeds to go on undisturbed", what)
	}
}

func (s *Deployment) newFlowsWork(what string) {
	s.T.Helper()
	if done, failed := s.newFlows(time.Second); done == 0 || failed != 0 {
		s.T.Errorf("%s: want all new flows to work, have %d done and %d failed", what, done, failed)
	}
}

// moved checks that feeds may have moved but lost no event and never broke.
func (s *Deployment) moved(what string, f *Feeds) {
	s.T.Helper()
	r := f.Report()
	s.T.Logf("%s: %+v", what, r)
	if len(r.Faults) != 0 || r.Breaks != 0 || r.Events == 0 {
		s.T.Errorf("%s: want no break and no lost event", what)
	}
}

// flowsOfKey sums the connections of all agents that began under a key; it is
// negative when an agent does not answer.
func (s *Deployment) flowsOfKey(key string) int {
	n := 0
	for _, as := range s.Agents {
		for _, a := range as {
			var st struct{ ConnectionsByKey map[string]int }
			if a.State(&st) != nil {
				return -1
			}
			n += st.ConnectionsByKey[key]
		}
	}
	return n
}

// TestKeyRotation guards the three steps of a key rotation with feeds open all
// the way: the first step disturbs no flow; after the second the agents move
// the feeds to flows of the new key without a break or a lost event; the last
// one, made when no movable flow of the old key is left, disturbs none. New
// flows work after each step. A plain client that keeps its request open stays
// under the old key, and its packets are refused and counted after the drop.
func TestKeyRotation(t *testing.T) {
	const count = 50
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 2, map[string]int{"listas": 2})
	left := s.holdFeed(s.Agents["listas"][0])
	old := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	defer old.Close()
	s.rotate(1, "add", s.keysFile)
	s.newFlowsWork("key added")
	s.unbroken("key added", old)
	s.rotate(2, "use", s.keysFile, "2")
	s.newFlowsWork("key used")
	s.Eventually(45*time.Second, "only the plain client's flow is of the old key", func() bool { return s.flowsOfKey("1") == 1 })
	s.moved("key used", old)
	next := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	defer next.Close()
	if n := s.unknownKeys(); n != 0 {
		t.Errorf("want no packet refused while both keys are accepted, have %d", n)
	}
	before := old.Report().Moves
	s.rotate(3, "drop", s.keysFile, "1")
	s.newFlowsWork("key dropped")
	s.Eventually(5*time.Second, "packets under the dropped key counted", func() bool { return s.unknownKeys() > 0 })
	left()
	refused := s.settledUnknownKeys()
	// Feeds acknowledge their events all the time, so one of the old key would
	// show as refused packets at once, although it breaks later.
	time.Sleep(6 * time.Second)
	if n := s.unknownKeys(); n != refused {
		t.Errorf("want no packet of a feed under the dropped key, have %d", n-refused)
	}
	s.unbroken("key dropped", next)
	s.moved("key dropped", old)
	if n := old.Report().Moves; n != before {
		t.Errorf("want no move after the drop, have %d", n-before)
	}
}
