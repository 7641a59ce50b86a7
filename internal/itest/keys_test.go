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

// rotateKeys runs step n of the key rotation and waits until every process has reread
// the keys file.
func (s *Deployment) rotateKeys(n int, args ...string) {
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
		s.Eventually(5*time.Second, fmt.Sprintf("%s has reread the keys file in step %d", p.Name, n), func() bool {
			log, err := os.ReadFile(filepath.Join(s.Dir, p.Name+".log"))
			return err == nil && bytes.Count(log, []byte("keys replaced")) == n
		})
	}
}

// unknownKeyPackets returns the number of packets that the balancers refused because
// they did not know the key.
func (s *Deployment) unknownKeyPackets() uint64 {
	var n uint64
	for _, b := range s.Balancers {
		var st relay.State
		if b.State(&st) == nil {
			n += st.Counts["unknownKey"]
		}
	}
	return n
}

// settledUnknownKeyPackets waits until that number has not changed for half a second,
// for at most 5 s, and returns it.
func (s *Deployment) settledUnknownKeyPackets() uint64 {
	n, since := s.unknownKeyPackets(), time.Now()
	for end := since.Add(5 * time.Second); time.Now().Before(end) && time.Since(since) < 500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if m := s.unknownKeyPackets(); m != n {
			n, since = m, time.Now()
		}
	}
	return n
}

// checkUndisturbed checks that no feed has failed, moved or broken.
func (s *Deployment) checkUndisturbed(what string, f *Feeds) {
	s.T.Helper()
	r := f.Report()
	s.T.Logf("%s: %+v", what, r)
	if len(r.Faults) != 0 || r.Breaks != 0 || r.Moves != 0 || r.Events == 0 {
		s.T.Errorf("%s: want no fault, break or move of a feed", what)
	}
}

func (s *Deployment) checkNewFlows(what string) {
	s.T.Helper()
	if done, failed := s.sendOnNewFlows(time.Second); done == 0 || failed != 0 {
		s.T.Errorf("%s: want all requests on new flows served, have %d done and %d failed", what, done, failed)
	}
}

// checkUnbroken checks that no feed has lost an event or broken; feeds may have moved.
func (s *Deployment) checkUnbroken(what string, f *Feeds) {
	s.T.Helper()
	r := f.Report()
	s.T.Logf("%s: %+v", what, r)
	if len(r.Faults) != 0 || r.Breaks != 0 || r.Events == 0 {
		s.T.Errorf("%s: want no break and no lost event", what)
	}
}

// connectionsOfKey returns the number of connections of all agents that were opened
// under a key, or -1 if an agent does not answer.
func (s *Deployment) connectionsOfKey(key string) int {
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

// TestKeyRotation guards the three steps of a key rotation while feeds are open. Adding
// a key disturbs no flow. After its first use the agents move the feeds to flows of
// the new key without a break or a lost event. Dropping the old key, once no movable
// flow has it, disturbs no feed. New flows work after each step. A plain client with
// an open request stays on the old key; after the drop its packets are refused and
// counted.
func TestKeyRotation(t *testing.T) {
	const count = 50
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 2, map[string]int{"listas": 2})
	endPlainFeed := s.holdFeed(s.Agents["listas"][0])
	old := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	defer old.Close()
	s.rotateKeys(1, "add", s.keysFile)
	s.checkNewFlows("key added")
	s.checkUndisturbed("key added", old)
	s.rotateKeys(2, "use", s.keysFile, "2")
	s.checkNewFlows("key used")
	s.Eventually(45*time.Second, "only the plain client's flow has the old key", func() bool { return s.connectionsOfKey("1") == 1 })
	s.checkUnbroken("key used", old)
	next := s.OpenFeeds(s.Client(), "listas", count, 50*time.Millisecond)
	defer next.Close()
	if n := s.unknownKeyPackets(); n != 0 {
		t.Errorf("want no packet refused while both keys are accepted, have %d", n)
	}
	before := old.Report().Moves
	s.rotateKeys(3, "drop", s.keysFile, "1")
	s.checkNewFlows("key dropped")
	s.Eventually(5*time.Second, "packets with the dropped key are counted", func() bool { return s.unknownKeyPackets() > 0 })
	endPlainFeed()
	refused := s.settledUnknownKeyPackets()
	// Feeds acknowledge events continuously, so a feed on the old key would cause
	// refused packets at once, although it breaks only later.
	time.Sleep(6 * time.Second)
	if n := s.unknownKeyPackets(); n != refused {
		t.Errorf("want no packet of a feed with the dropped key, have %d", n-refused)
	}
	s.checkUndisturbed("key dropped", next)
	s.checkUnbroken("key dropped", old)
	if n := old.Report().Moves; n != before {
		t.Errorf("want no move after the drop, have %d", n-before)
	}
}
