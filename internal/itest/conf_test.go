package itest

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// inForceTimeout bounds the time until a configuration is in force on a cluster of
// one machine. At the target size the bound is 7 s.
const inForceTimeout = 2 * time.Second

// generation returns the generation in force on a balancer, 0 if there is none or
// the balancer does not answer.
func (s *Deployment) generation(b *Process) uint64 {
	var st relay.State
	if b.State(&st) != nil || st.Configuration == nil {
		return 0
	}
	return uint64(st.Configuration.Generation)
}

func (s *Deployment) waitGeneration(want uint64, bs ...*Process) {
	s.T.Helper()
	for _, b := range bs {
		s.Eventually(inForceTimeout, fmt.Sprintf("generation %d in force on %s", want, b.Name), func() bool {
			return s.generation(b) == want
		})
	}
}

// applyCommand returns the apply command for a declaration; the caller starts it.
func (s *Deployment) applyCommand(name string, d *decl.Declaration) *exec.Cmd {
	s.T.Helper()
	b, err := d.JSON()
	s.must(err)
	file := filepath.Join(s.Dir, name+".json")
	s.must(os.WriteFile(file, b, 0o600))
	return exec.Command(s.Binary, "apply", "--platform", s.PlatformURL, file)
}

func exitCode(err error) int {
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	if err != nil {
		return -1
	}
	return 0
}

// TestConfigurationInForce guards the guarantee that an accepted configuration is in
// force on every balancer within 2 s, also if the answer to the write is lost, and
// never reverts. An older generation could return from a balancer that was frozen,
// a balancer that starts during an outage, or a platform restored from a backup.
func TestConfigurationInForce(t *testing.T) {
	c := NewCluster(t, binary)
	d := Declaration(4, "listas")
	s := NewDeployment(c, d, 3, map[string]int{"listas": 1})
	d2 := Declaration(5, "listas")
	if out, err := s.applyCommand("two", d2).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	s.waitGeneration(2, s.Balancers...)
	old, err := plat.New(c.PlatformURL, time.Second).Get(t.Context(), plat.KindConfig, "main")
	c.must(err)

	c.Store.SetFaults(store.Faults{LoseAnswers: 1})
	out, err := s.applyCommand("three", Declaration(6, "listas")).CombinedOutput()
	if err != nil {
		t.Fatalf("apply with a lost answer: %v: %s", err, out)
	}
	s.waitGeneration(3, s.Balancers...)

	stale := s.Balancers[0]
	stale.Freeze()
	if out, err := s.applyCommand("four", Declaration(7, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	s.waitGeneration(4, s.Balancers[1:]...)
	c.Store.SetFaults(store.Faults{Outage: true})
	stale.Resume()
	s.waitGeneration(4, s.Balancers...)
	joined := s.AddBalancer()
	s.waitGeneration(4, joined)
	c.Store.SetFaults(store.Faults{})
	s.restore(old)
	for range 50 {
		for _, b := range s.Balancers {
			if g := s.generation(b); g != 4 {
				t.Fatalf("%s went back to generation %d", b.Name, g)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// restore writes an older configuration to the platform unconditionally, which has
// the effect of restoring a backup of the platform.
func (s *Deployment) restore(old plat.Object) {
	s.T.Helper()
	req, err := http.NewRequest(http.MethodPut, s.PlatformURL+"/v1/objects/config/main", bytes.NewReader(old.Value))
	s.must(err)
	resp, err := http.DefaultClient.Do(req)
	s.must(err)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		s.T.Fatalf("restore: %s", resp.Status)
	}
}

// TestOperatorsRace guards against lost updates between concurrent operators: exactly
// one of them writes each generation and the others get a conflict. So does an apply
// that was suspended between its read and its write.
func TestOperatorsRace(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(1, "listas"), 1, map[string]int{})
	const operators = 8
	c.Store.SetFaults(store.Faults{AnswerDelayMillis: 300}) // so that all read before any of them writes
	codes := make([]int, operators)
	outs := make([]string, operators)
	var wait sync.WaitGroup
	for i := range operators {
		cmd := s.applyCommand(fmt.Sprintf("race%d", i), Declaration(2+i, "listas"))
		wait.Add(1)
		go func() {
			defer wait.Done()
			out, err := cmd.CombinedOutput()
			codes[i], outs[i] = exitCode(err), string(out)
		}()
	}
	wait.Wait()
	c.Store.SetFaults(store.Faults{})
	accepted := 0
	for i, code := range codes {
		switch code {
		case 0:
			accepted++
		case 3:
			if !strings.Contains(outs[i], "generation") {
				t.Errorf("conflict without generations: %s", outs[i])
			}
		default:
			t.Errorf("operator %d: exit status %d: %s", i, code, outs[i])
		}
	}
	if accepted != 1 {
		t.Errorf("want one operator accepted, have %d", accepted)
	}
	s.waitGeneration(2, s.Balancers...)

	c.Store.SetFaults(store.Faults{AnswerDelayMillis: 400})
	paused := s.applyCommand("paused", Declaration(20, "listas"))
	var output strings.Builder
	paused.Stdout, paused.Stderr = &output, &output
	reads := c.Store.Counts()["read"]
	s.must(paused.Start())
	s.Eventually(5*time.Second, "the paused operator has read", func() bool { return c.Store.Counts()["read"] > reads })
	s.must(paused.Process.Signal(syscall.SIGSTOP))
	c.Store.SetFaults(store.Faults{})
	if out, err := s.applyCommand("quick", Declaration(21, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	s.waitGeneration(3, s.Balancers...)
	s.must(paused.Process.Signal(syscall.SIGCONT))
	if code := exitCode(paused.Wait()); code != 3 {
		t.Errorf("paused operator: want exit status 3, have %d: %s", code, output.String())
	}
	if g := s.generation(s.Balancers[0]); g != 3 {
		t.Errorf("want generation 3, have %d", g)
	}
}

// TestSlowPlatform guards configuration and membership while each answer of the
// platform takes 1.5 s, which is close to the request timeout of 2 s.
func TestSlowPlatform(t *testing.T) {
	c := NewCluster(t, binary)
	s := NewDeployment(c, Declaration(4, "listas"), 2, map[string]int{"listas": 1})
	c.Store.SetFaults(store.Faults{AnswerDelayMillis: 1500})
	a := s.AddAgent("listas", time.Millisecond)
	s.WaitReady()
	if out, err := s.applyCommand("slow", Declaration(5, "listas")).CombinedOutput(); err != nil {
		t.Fatalf("apply: %v: %s", err, out)
	}
	s.waitGeneration(2, s.Balancers...)
	if done, failed := s.sendOnNewFlows(time.Second); done == 0 || failed != 0 {
		t.Errorf("want all requests served, have %d done and %d failed", done, failed)
	}
	if a.Stub.Counts().Requests == 0 {
		t.Error("the agent that joined got no request")
	}
}
