package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/store"
)

// startPlatform serves the platform stand-in and returns its store and URL; before
// is called ahead of each write.
func startPlatform(t *testing.T, before func(s *store.Store)) (*store.Store, string) {
	s := store.New()
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut && before != nil {
			before(s)
		}
		s.ServeHTTP(w, r)
	}))
	t.Cleanup(h.Close)
	return s, h.URL
}

// exitStatus returns the exit status of an error, -1 if it has none.
func exitStatus(err error) int {
	var e *exitError
	if errors.As(err, &e) {
		return e.status
	}
	if err != nil {
		return -1
	}
	return 0
}

// runApply applies the Ezelpad example after replacing the text old in it, and
// returns the output and the exit status.
func runApply(t *testing.T, c applyCmd, old, replacement string) (string, int) {
	t.Helper()
	var b, out bytes.Buffer
	if err := ezelpadExample().Print(&b); err != nil {
		t.Fatal(err)
	}
	c.File = filepath.Join(t.TempDir(), "declaration.json")
	if err := os.WriteFile(c.File, []byte(strings.Replace(b.String(), old, replacement, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	c.out = &out
	if c.Timeout == 0 {
		c.Timeout = 5 * time.Second
	}
	err := c.Run(t.Context())
	if err != nil {
		out.WriteString(err.Error())
	}
	return out.String(), exitStatus(err)
}

// storedConfig returns the configuration object on the platform.
func storedConfig(t *testing.T, url string) config.Object {
	t.Helper()
	var o config.Object
	cur, err := plat.New(url, time.Second).Get(t.Context(), plat.KindConfig, "ezelpad")
	if err == nil {
		err = json.Unmarshal(cur.Value, &o)
	}
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// TestApply guards the exit statuses and messages: an invalid declaration is not
// written, an unexpected generation is a conflict, and a write whose answer was
// lost is read back.
func TestApply(t *testing.T) {
	s, url := startPlatform(t, nil)
	two := uint64(2)
	for _, c := range []struct {
		name, old, replacement string
		cmd                    applyCmd
		faults                 store.Faults
		status                 int
		want                   string
		generation             uint64
	}{
		{name: "first", want: "generation 1 accepted", generation: 1},
		{name: "same", want: "no difference, generation 1 remains", generation: 1},
		{name: "invalid", old: `"slots": 5`, replacement: `"slots": -5`, status: exitInvalid, want: "services[0].limits.slots", generation: 1},
		{name: "dry run", old: `"slots": 5`, replacement: `"slots": 6`, cmd: applyCmd{DryRun: true}, want: "~ service trek: slots 5 -> 6", generation: 1},
		{name: "expectation", old: `"slots": 5`, replacement: `"slots": 6`, cmd: applyCmd{ExpectGeneration: &two}, status: exitConflict, want: "expected generation 2, found generation 1", generation: 1},
		{name: "lost answer", old: `"slots": 5`, replacement: `"slots": 6`, faults: store.Faults{LoseAnswers: 1}, want: "generation 2 accepted", generation: 2},
	} {
		s.SetFaults(c.faults)
		c.cmd.Platform = url
		out, status := runApply(t, c.cmd, c.old, c.replacement)
		if status != c.status || !strings.Contains(out, c.want) {
			t.Errorf("%s: want status %d and %q, have %d and %q", c.name, c.status, c.want, status, out)
		}
		if have := storedConfig(t, url).Generation; uint64(have) != c.generation {
			t.Errorf("%s: want generation %d in force, have %d", c.name, c.generation, have)
		}
	}
}

// TestApplyRace guards against a lost update when another operator writes between
// the read and the write of apply, and against reporting success or failure of a
// write whose outcome is unknown.
func TestApplyRace(t *testing.T) {
	other := config.Object{Generation: 7, Writer: "other", Declaration: []byte(`{}`)}
	raced := false
	var url string
	_, url = startPlatform(t, func(*store.Store) {
		if raced {
			return
		}
		raced = true
		if _, err := plat.New(url, time.Second).Put(t.Context(), plat.KindConfig, "ezelpad", other, 0); err != nil {
			t.Error(err)
		}
	})
	out, status := runApply(t, applyCmd{Platform: url}, "", "")
	if status != exitConflict || !strings.Contains(out, "based on generation 0 at version 0, found generation 7 at version 1") {
		t.Errorf("want status %d with both generations, have %d and %q", exitConflict, status, out)
	}
	if have := storedConfig(t, url); have.Writer != "other" {
		t.Errorf("want the other writer's object, have %+v", have)
	}

	_, url = startPlatform(t, func(s *store.Store) { s.SetFaults(store.Faults{Outage: true}) })
	out, status = runApply(t, applyCmd{Platform: url, Timeout: 400 * time.Millisecond}, "", "")
	if status != exitUnknown || !strings.Contains(out, "not known") {
		t.Errorf("want status %d, have %d and %q", exitUnknown, status, out)
	}
}

// TestApplyEvacuation guards against an evacuation that leaves a service without
// upstreams and is applied without a warning, and against one that is refused.
func TestApplyEvacuation(t *testing.T) {
	_, url := startPlatform(t, nil)
	client := plat.New(url, time.Second)
	for name, value := range map[string]string{
		"e1": `{"state": "serving", "service": "map", "place": "namur-a"}`,
		"e2": `{"state": "draining", "service": "map", "place": "namur-b"}`,
		"e3": `{"state": "serving", "service": "trek", "place": "namur-a"}`,
		"e4": `{"state": "serving", "service": "trek", "place": "namur-b"}`,
	} {
		if _, err := client.Put(t.Context(), plat.KindEndpoint, name, json.RawMessage(value), 0); err != nil {
			t.Fatal(err)
		}
	}
	const at = `"services": [`
	out, status := runApply(t, applyCmd{Platform: url}, at, `"evacuated": ["namur-a"], `+at)
	if status != 0 || !strings.Contains(out, "warning: service map: all 1 serving upstreams are in evacuated places") || strings.Contains(out, "service trek: all") {
		t.Errorf("want a warning about map only, have status %d and %q", status, out)
	}
	out, status = runApply(t, applyCmd{Platform: url}, at, `"evacuated": ["namur-a", "namur-b", "liege-c"], `+at)
	if status != 0 || strings.Count(out, "warning:") != 2 || !strings.Contains(out, "~ place liege-c: evacuated no -> yes") {
		t.Errorf("want a warning for each service, have status %d and %q", status, out)
	}
	out, status = runApply(t, applyCmd{Platform: url}, "", "")
	if status != 0 || strings.Contains(out, "warning:") || !strings.Contains(out, "~ place namur-a: evacuated yes -> no") {
		t.Errorf("want the place taken back without a warning, have status %d and %q", status, out)
	}
}
