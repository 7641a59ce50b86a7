package config

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func keysJSON(current int, numbers ...int) string {
	var items []string
	for _, n := range numbers {
		items = append(items, fmt.Sprintf(`{"number":%d,"secret":"%064x"}`, n, n+1))
	}
	return fmt.Sprintf(`{"current":%d,"keys":[%s]}`, current, strings.Join(items, ","))
}

// TestKeySource guards against a missed change of the keys file, against an invalid
// file that replaces valid keys, and against logging an invalid file at every poll.
func TestKeySource(t *testing.T) {
	path := filepath.Join(t.TempDir(), "keys.json")
	write := func(content string, modified time.Time) {
		t.Helper()
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, modified, modified); err != nil {
			t.Fatal(err)
		}
	}
	now, old := time.Now(), time.Now().Add(-time.Hour)
	write(keysJSON(1, 1, 2), now)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	s, err := NewKeySource(path, logrus.NewEntry(log))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		change   func()
		current  uint8
		accepted []uint8
		logged   string
	}{
		{"unchanged", func() {}, 1, []uint8{1, 2}, ""},
		{"same size and time, just written", func() { write(keysJSON(2, 1, 2), now) }, 2, []uint8{1, 2}, "keys replaced"},
		{"same size, older", func() { write(keysJSON(2, 2, 3), old) }, 2, []uint8{2, 3}, "keys replaced"},
		{"not JSON", func() { write("{", now) }, 2, []uint8{2, 3}, "not usable"},
		{"three keys", func() { write(keysJSON(3, 3, 4, 5), now) }, 2, []uint8{2, 3}, "not usable"},
		{"current missing", func() { write(keysJSON(1, 3), now) }, 2, []uint8{2, 3}, "not usable"},
		{"no file", func() { os.Remove(path) }, 2, []uint8{2, 3}, "not usable"},
		{"old key removed", func() { write(keysJSON(3, 3), old) }, 3, []uint8{3}, "keys replaced"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out.Reset()
			c.change()
			for range 3 {
				s.Poll()
			}
			set := s.Load()
			if set.Current.Number != c.current {
				t.Errorf("current key: want %d, have %d", c.current, set.Current.Number)
			}
			var have []uint8
			for n := range uint8(7) {
				if set.Key(n) != nil {
					have = append(have, n)
				}
			}
			if !bytes.Equal(have, c.accepted) {
				t.Errorf("accepted keys: want %v, have %v", c.accepted, have)
			}
			if n := strings.Count(out.String(), "level="); (c.logged == "") != (n == 0) || n > 1 || !strings.Contains(out.String(), c.logged) {
				t.Errorf("log: want one line with %q, have %q", c.logged, out.String())
			}
		})
	}
}
