package itest

import (
	"encoding/json"
	"os/exec"
	"testing"
	"time"
)

// processStatus is the part of the status output that the test checks.
type processStatus struct {
	Role       string   `json:"role"`
	Name       string   `json:"name"`
	State      string   `json:"state"`
	Generation uint64   `json:"generation"`
	AgeSeconds *float64 `json:"ageSeconds"`
	Behind     bool     `json:"behind"`
	Error      string   `json:"error"`
}

// status runs the status command and returns the processes by role.
func (s *Deployment) status() map[string][]processStatus {
	s.T.Helper()
	out, err := exec.Command(s.Binary, "status", "--json", "--platform", s.PlatformURL).Output()
	s.must(err)
	var r struct {
		Processes []processStatus `json:"processes"`
	}
	s.must(json.Unmarshal(out, &r))
	byRole := map[string][]processStatus{}
	for _, l := range r.Processes {
		byRole[l.Role] = append(byRole[l.Role], l)
	}
	return byRole
}

// allServing reports whether the two processes of a role are serving with the given
// generation.
func allServing(ls []processStatus, generation uint64, behind bool) bool {
	for _, l := range ls {
		if l.Generation != generation || l.Behind != behind || l.State != "serving" || l.AgeSeconds == nil || l.Error != "" {
			return false
		}
	}
	return len(ls) == 2
}

// TestStatus guards the status command. It must show the generation, state and age of
// all balancers and agents, mark those with an old generation as behind, and list those
// that do not answer. The test also runs the dump command on each process.
func TestStatus(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(2, "listas"), 2, map[string]int{"listas": 2})
	s.Eventually(inForceTimeout, "status of all processes", func() bool {
		st := s.status()
		return allServing(st["balancer"], 1, false) && allServing(st["agent"], 1, false)
	})
	for _, b := range s.Balancers {
		b.Freeze()
	}
	if out, err := s.applyCommand("two", Declaration(3, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	st := s.status()
	if !allServing(st["agent"], 1, true) {
		t.Errorf("want two agents behind with generation 1, have %+v", st["agent"])
	}
	for _, b := range st["balancer"] {
		if b.Error == "" || b.AgeSeconds != nil {
			t.Errorf("want an error for a balancer that does not answer, have %+v", b)
		}
	}
	for _, b := range s.Balancers {
		b.Resume()
	}
	s.Eventually(10*time.Second, "generation 2 everywhere", func() bool {
		st := s.status()
		return allServing(st["balancer"], 2, false) && allServing(st["agent"], 2, false)
	})
	for _, p := range append(s.Balancers, s.Agents["listas"]...) {
		out, err := exec.Command(s.Binary, "dump", p.Admin).Output()
		if err != nil || !json.Valid(out) {
			t.Errorf("dump of %s: %v: %s", p.Name, err, out)
		}
		if out, err := exec.Command(s.Binary, "dump", "--metrics", p.Admin).Output(); err != nil || len(out) == 0 {
			t.Errorf("metrics of %s: %v, %d bytes", p.Name, err, len(out))
		}
	}
}
