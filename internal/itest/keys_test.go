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
func (s *Scene) rotate(n int, args ...string) {
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
func (s *Scene) unknownKeys() uint64 {
	var n uint64
	for _, b := range s.Balancers {
		var st relay.State
		if b.State(&st) == nil {
			n += st.Counts["unknownKey"]
		}
	}
	return n
}

// unbroken checks that feeds have neither failed, moved nor broken.
func (s *Scene) unbroken(what string, f *Feeds) {
	s.T.Helper()
	r := f.Report()
	s.T.Logf("%s: %+v", what, r)
	if len(r.Faults) != 0 || r.Breaks != 0 || r.Moves != 0 || r.Events == 0 {
		s.T.Errorf("%s: want all feeds to go on undisturbed", what)
	}
}

func (s *Scene) newFlowsWork(what string) {
	s.T.Helper()
	if done, failed := s.newFlows(time.Second); done == 0 || failed != 0 {
		s.T.Errorf("%s: want all new flows to work, have %d done and %d failed", what, done, failed)
	}
}

// TestKeyRotation guards the three steps of a key rotation with feeds open: the
// first two disturb no flow; the last one disturbs none that began under the
// new key, and packets under the dropped key are refused and counted. New flows
// work after each step. Feeds that began under the old key are closed before
// it is dropped, as the keys command demands; they would break.
func TestKeyRotation(t *testing.T) {
	const count = 50
	s := NewScene(NewCluster(t, binary), Declaration(4, "listas"), 2, map[string]int{"listas": 2})
	left := s.holdFeed(s.Agents["listas"][0])
	defer left()
	old := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	s.rotate(1, "add", s.keysFile)
	s.newFlowsWork("key added")
	s.unbroken("key added", old)
	s.rotate(2, "use", s.keysFile, "2")
	s.newFlowsWork("key used")
	next := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	s.unbroken("key used", old)
	old.Close()
	if n := s.unknownKeys(); n != 0 {
		t.Errorf("want no packet refused while both keys are accepted, have %d", n)
	}
	s.rotate(3, "drop", s.keysFile, "1")
	s.newFlowsWork("key dropped")
	s.Eventually(5*time.Second, "packets under the dropped key counted", func() bool { return s.unknownKeys() > 0 })
	// Feeds under the dropped key broke about 5 s after it was dropped.
	time.Sleep(6 * time.Second)
	s.unbroken("key dropped", next)
}
