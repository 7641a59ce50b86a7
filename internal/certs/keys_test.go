package certs

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/config"
)

// TestRotation guards against rotation steps that would drop packets of open flows,
// and against keys files that balancers and agents cannot load.
func TestRotation(t *testing.T) {
	k := NewKeys(6)
	file := filepath.Join(t.TempDir(), "keys.json")
	for i, step := range []struct {
		name    string
		run     func() error
		refused bool
		current uint8
		keys    int
	}{
		{"new", func() error { return nil }, false, 6, 1},
		{"drop the only key", func() error { return k.Drop(6) }, true, 6, 1},
		{"use a missing key", func() error { return k.Use(0) }, true, 6, 1},
		{"add", func() error { _, err := k.Add(); return err }, false, 6, 2},
		{"add a third", func() error { _, err := k.Add(); return err }, true, 6, 2},
		{"use", func() error { return k.Use(0) }, false, 0, 2},
		{"drop the current key", func() error { return k.Drop(0) }, true, 0, 2},
		{"drop", func() error { return k.Drop(6) }, false, 0, 1},
	} {
		var e *KeysError
		if err := step.run(); errors.As(err, &e) != step.refused {
			t.Fatalf("step %d, %s: want refused %t, have %v", i, step.name, step.refused, err)
		}
		if k.Current != step.current || len(k.Keys) != step.keys {
			t.Errorf("%s: want current %d of %d, have %d of %d", step.name, step.current, step.keys, k.Current, len(k.Keys))
		}
		if err := k.Write(file); err != nil {
			t.Fatal(err)
		}
		s, err := config.LoadKeys(file)
		if err != nil || s.Current.Number != step.current {
			t.Errorf("%s: want a file with current key %d, have %v, %v", step.name, step.current, s, err)
		}
		if again, err := ReadKeys(file); err != nil || string(again.JSON()) != string(k.JSON()) {
			t.Errorf("%s: want the same keys read back, have %v", step.name, err)
		}
	}
	info, err := os.Stat(file)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("want a file readable by its owner only, have %v, %v", info.Mode(), err)
	}
	if left, _ := filepath.Glob(filepath.Join(filepath.Dir(file), ".keys-*")); left != nil {
		t.Errorf("want no temporary files, have %v", left)
	}
}
