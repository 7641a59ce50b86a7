package main

import (
	"bytes"
	"errors"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/lint"
	"github.com/bramleycourse/bramleycourse/platform/standin"
)

// TestCheck guards the way from the settings file to the version in force, and the
// exit statuses.
func TestCheck(t *testing.T) {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	dir := t.TempDir()
	write := func(name, text string) string {
		t.Helper()
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	settings := write("settings.conf", standin.BalancerSettings(strings.TrimPrefix(server.URL, "http://")))
	s.Put("config", "main", standin.Config(7, 1500))
	old := write("old.json", standin.Config(7, 1500))
	for _, c := range []struct {
		text     string
		flags    lint.Flags
		settings string
		status   int
		words    string
	}{
		{standin.Config(8, 1200), lint.Flags{Against: lint.InForce}, settings, 0, "~ route feed: TimeoutMs 1500 -> 1200"},
		{standin.Config(8, 1200), lint.Flags{Against: lint.InForce, Platform: server.URL}, "missing", 0, "~ route feed: TimeoutMs 1500 -> 1200"},
		{standin.Config(8, 1200), lint.Flags{Against: old}, "missing", 0, "~ configuration: Version 7 -> 8"},
		{standin.Config(7, 1200), lint.Flags{Against: lint.InForce}, settings, 1, "7 is not above 7"},
		{standin.Config(8, -1), lint.Flags{}, "missing", 1, "check.json:1: error: Routes[0].TimeoutMs"},
		{standin.Config(8, 1200), lint.Flags{Against: lint.InForce}, "missing", 2, "missing"},
	} {
		var out bytes.Buffer
		c.flags.File, c.flags.Timeout = write("check.json", c.text), 5*time.Second
		cmd := checkCmd{c.flags}
		err := cmd.run(c.settings, &out)
		status := 0
		var exit *lint.ExitError
		if errors.As(err, &exit) {
			status = exit.Status
			out.WriteString(err.Error())
		}
		if status != c.status || !strings.Contains(out.String(), c.words) {
			t.Errorf("%+v: want status %d and %q, have %d and %q", c.flags, c.status, c.words, status, out.String())
		}
	}
}
