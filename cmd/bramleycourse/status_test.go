package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// startAdmin serves the admin pages of a process with the given state dump and
// returns its address.
func startAdmin(t *testing.T, role, name, state string) string {
	mux := http.NewServeMux()
	mux.HandleFunc("/process", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"role": %q, "name": %q, "uptimeSeconds": 90}`, role, name)
	})
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, state) })
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestStatus guards against a process with an old generation that is not marked as
// behind, and against one unreachable process hiding the others.
func TestStatus(t *testing.T) {
	_, url := startPlatform(t, nil)
	client := plat.New(url, time.Second)
	for _, o := range []struct {
		kind  plat.Kind
		name  string
		value any
	}{
		{plat.KindConfig, "main", config.Object{Generation: 8, Declaration: []byte(`{}`)}},
		{plat.KindBalancer, "b1", json.RawMessage(fmt.Sprintf(`{"state": "serving", "place": "recife", "admin": %q}`,
			startAdmin(t, "balancer", "b1", `{"configuration": {"generation": 7}}`)))},
		{plat.KindBalancer, "b2", json.RawMessage(fmt.Sprintf(`{"state": "serving", "admin": %q}`,
			startAdmin(t, "balancer", "b2", `{"state": "draining", "configuration": {"generation": 8}}`)))},
		{plat.KindBalancer, "b3", json.RawMessage(`{"state": "serving", "admin": "127.0.0.1:1"}`)},
		{plat.KindEndpoint, "e1", json.RawMessage(`{"state": "serving", "service": "listas"}`)},
	} {
		if _, err := client.Put(t.Context(), o.kind, o.name, o.value, 0); err != nil {
			t.Fatal(err)
		}
	}
	want := [][]string{
		{"accepted", "generation", "8"},
		{"role", "name", "service", "place", "state", "generation", "age", "note"},
		{"balancer", "b1", "recife", "serving", "7", "1m30s", "behind"},
		{"balancer", "b2", "draining", "8", "1m30s"},
		{"balancer", "b3", "serving", "-", "-", "Get"},
		{"endpoint", "e1", "listas", "serving", "-", "-"},
	}
	checkStatus(t, statusCmd{Platform: url, Name: "main"}, want)

	agent := startAdmin(t, "agent", "listas", `{"service": "listas", "state": "serving", "generation": 3}`)
	other := startAdmin(t, "agent", "listas", `{"service": "listas", "state": "serving", "generation": 2}`)
	checkStatus(t, statusCmd{At: []string{agent, other}}, [][]string{
		want[1],
		{"agent", "listas", "listas", "serving", "3", "1m30s"},
		{"agent", "listas", "listas", "serving", "2", "1m30s", "behind"},
	})
}

// checkStatus compares the first words of each output line.
func checkStatus(t *testing.T, c statusCmd, want [][]string) {
	t.Helper()
	var out bytes.Buffer
	c.out = &out
	if err := c.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != len(want) {
		t.Fatalf("want %d lines, have %q", len(want), lines)
	}
	for i, w := range want {
		have := strings.Fields(lines[i])
		if len(have) < len(w) || strings.Join(have[:len(w)], " ") != strings.Join(w, " ") {
			t.Errorf("want %q, have %q", w, have)
		}
	}
}
