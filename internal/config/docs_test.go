package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const docsDir = "../../docs"

// TestSettingsPage guards against settings fields that docs/settings.md does not
// describe.
func TestSettingsPage(t *testing.T) {
	b, err := os.ReadFile(filepath.Join(docsDir, "settings.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		section  string
		settings any
	}{
		{"Balancer", Balancer{}},
		{"Agent", Agent{}},
		{"Keys file", keysFile{}},
	} {
		_, text, found := strings.Cut(string(b), "\n## "+c.section+"\n")
		if !found {
			t.Errorf("want a section %q", c.section)
		}
		text, _, _ = strings.Cut(text, "\n## ")
		for _, f := range jsonPaths(reflect.TypeOf(c.settings), "") {
			if !strings.Contains(text, "| `"+f+"` |") {
				t.Errorf("section %q: want a row for the field %s", c.section, f)
			}
		}
	}
}

// jsonPaths returns the JSON paths of the leaf fields of a struct type.
func jsonPaths(s reflect.Type, prefix string) []string {
	var paths []string
	for i := range s.NumField() {
		f := s.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			name += "[]"
		}
		if inner.Kind() == reflect.Slice || inner.Kind() == reflect.Pointer {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			paths = append(paths, jsonPaths(inner, prefix+name+".")...)
			continue
		}
		paths = append(paths, prefix+strings.TrimSuffix(name, "[]"))
	}
	return paths
}

// TestExamples guards against example files in docs that are rejected as invalid.
func TestExamples(t *testing.T) {
	for pattern, load := range map[string]func(string) error{
		"balancer-*.json": func(f string) error { _, err := LoadBalancer(f); return err },
		"agent-*.json":    func(f string) error { _, err := LoadAgent(f); return err },
		"declaration.json": func(f string) error {
			b, err := os.ReadFile(f)
			if err == nil {
				_, err = decl.Parse(b)
			}
			return err
		},
	} {
		files, _ := filepath.Glob(filepath.Join(docsDir, "examples", pattern))
		if len(files) == 0 {
			t.Errorf("want files %s", pattern)
		}
		for _, f := range files {
			if err := load(f); err != nil {
				t.Error(err)
			}
		}
	}
}
