package itest

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/relay"
)

const (
	// frozenTime is longer than the sum of the timeouts of sessions (about 4 s),
	// marks (3 s) and dialing (2 s, retried after at most 4.5 s).
	frozenTime = 15 * time.Second
	// fabricDelay is how long the fabric takes to notice that a balancer is frozen or
	// resumed.
	fabricDelay = 500 * time.Millisecond
)

// versions holds the highest generation and sequence numbers that each balancer has
// reported.
type versions map[string]uint64

// check reports the versions that went back or are missing in a balancer's state
// dump, and returns the dump.
func (v versions) check(t *testing.T, b *Process) relay.State {
	t.Helper()
	var st relay.State
	if err := b.State(&st); err != nil {
		t.Errorf("%s: %v", b.Name, err)
		return st
	}
	now := map[string]uint64{}
	if st.Configuration != nil {
		now["generation"] = uint64(st.Configuration.Generation)
	}
	for _, e := range st.Endpoints {
		now[e.Key.String()] = uint64(e.Seq)
	}
	for _, e := range st.Balancers {
		now[e.Key.String()] = uint64(e.Seq)
	}
	for k, have := range now {
		k = b.Name + " " + k
		if have < v[k] {
			t.Errorf("%s went back from %d to %d", k, v[k], have)
		}
		v[k] = have
	}
	for k, was := range v {
		if _, ok := now[k[len(b.Name)+1:]]; !ok && k[:len(b.Name)] == b.Name {
			t.Errorf("%s is missing, it was %d", k, was)
		}
	}
	return st
}

// TestFrozenBalancer guards against a balancer that resumes with outdated state after
// being frozen for longer than any timeout. It must mark no member down, restore no
// old view and break no feed.
func TestFrozenBalancer(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 3, map[string]int{"listas": 3})
	feeds := s.OpenFeeds(s.Client(), "listas", 20, 50*time.Millisecond)
	all, frozen := s.Balancers, s.Balancers[0]
	seen := versions{}
	for _, b := range all {
		seen.check(t, b)
	}
	frozen.Freeze()
	defer frozen.Resume()
	time.Sleep(fabricDelay)
	s.RemoveBalancer(frozen)
	if out, err := s.applyCommand("two", Declaration(5, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	s.waitGeneration(2, s.Balancers...)
	for end := time.Now().Add(frozenTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, b := range s.Balancers {
			seen.check(t, b)
		}
	}
	frozen.Resume()
	s.checkResumed(all, frozen, seen)
	s.waitGeneration(2, frozen)
	st := seen.check(t, frozen)
	if st.Control["pauses"] == 0 || st.Peers.Counts["pauses"] == 0 {
		t.Errorf("want the pause noticed, have %v and %v", st.Control, st.Peers.Counts)
	}
	s.waitConverged()
	r := feeds.Report()
	t.Logf("feeds: %+v", r)
	if len(r.Faults) != 0 || r.Breaks != 0 {
		t.Errorf("want no broken feed, have %d breaks and %v", r.Breaks, r.Faults)
	}
}

// checkResumed checks all balancers for 5 s after one of them was resumed, and adds
// it to the fabrics again after fabricDelay. Its peers may still mark it for a while.
func (s *Deployment) checkResumed(all []*Process, resumed *Process, seen versions) {
	key := ownKey(s.T, resumed)
	back := time.Now().Add(fabricDelay)
	for end := back.Add(5 * time.Second); time.Now().Before(end) && !s.T.Failed(); time.Sleep(20 * time.Millisecond) {
		if len(s.Balancers) < len(all) && time.Now().After(back) {
			s.Balancers = all
			s.SetFabricTargets(all...)
		}
		for _, b := range all {
			for k, condition := range seen.check(s.T, b).Peers.Marks {
				if b == resumed || k != key {
					s.T.Errorf("%s marked %s %s", b.Name, k, condition)
				}
			}
			if n := len(s.UsableAgents(b)); n != 3 {
				s.T.Errorf("%s: want 3 usable endpoints, have %d", b.Name, n)
			}
		}
	}
}

// ownKey returns the key under which a balancer lists itself.
func ownKey(t *testing.T, p *Process) string {
	t.Helper()
	var st relay.State
	if err := p.State(&st); err != nil {
		t.Fatal(err)
	}
	for _, e := range st.Balancers {
		if e.Key.Name == p.Name {
			return e.Key.String()
		}
	}
	t.Fatalf("%s does not list itself", p.Name)
	return ""
}
