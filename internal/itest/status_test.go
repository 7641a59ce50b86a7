package itest

import (
	"encoding/json"
	"os/exec"
	"testing"
	"time"
)

// statusLine is the part of a line of the status that the test looks at.
type statusLine struct {
	Role       string   `json:"role"`
	Name       string   `json:"name"`
	State      string   `json:"state"`
	Generation uint64   `json:"generation"`
	AgeSeconds *float64 `json:"ageSeconds"`
	Behind     bool     `json:"behind"`
	Error      string   `json:"error"`
}

func (s *Deployment) status() map[string][]statusLine {
	s.T.Helper()
	out, err := exec.Command(s.Binary, "status", "--json", "--platform", s.PlatformURL).Output()
	s.must(err)
	var r struct {
		Processes []statusLine `json:"processes"`
	}
	s.must(json.Unmarshal(out, &r))
	byRole := map[string][]statusLine{}
	for _, l := range r.Processes {
		byRole[l.Role] = append(byRole[l.Role], l)
	}
	return byRole
}

// inForce reports whether status shows all processes of a role with a generation;
// there are two of each.
func inForce(ls []statusLine, generation uint64, behind bool) bool {
	for _, l := range ls {
		if l.Generation != generation || l.Behind != behind || l.State != "serving" || l.AgeSeconds == nil || l.Error != "" {
			return false
		}
	}
	return len(ls) == 2
}

// TestStatus guards against processes that status does not show: it must have
// the generation, state and age of balancers and agents, mark those behind, and
// list those that do not answer. It also runs dump on each process.
func TestStatus(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(2, "listas"), 2, map[string]int{"listas": 2})
	s.Eventually(inForceLimit, "status of all processes", func() bool {
		st := s.status()
		return inForce(st["balancer"], 1, false) && inForce(st["agent"], 1, false)
	})
	for _, b := range s.Balancers {
		b.Freeze()
	}
	if out, err := s.apply("two", Declaration(3, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	st := s.status()
	if !inForce(st["agent"], 1, true) {
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
		return inForce(st["balancer"], 2, false) && inForce(st["agent"], 2, false)
	})
	for _, p := range append(s.Balancers, s.Agents["listas"]...) {
		out, err := exec.Command(s.Binary, "dump", p.Admin).Output()
		if err != nil || !json.Valid(out) {
			t.Errorf("dump of %s: %v: %s", p.Name, err, out)
		}
		if out, err := exec.Command(s.Binary, "dump", "--metrics", p.Admin).Output(); err != nil || len(out) == 0 {
			t.Errorf("metrics of %s: %v, %d octets", p.Name, err, len(out))
		}
	}
}
