package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/lint"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// checkedExample is the Ezelpad example with stream paths and shares, one item in a
// line.
func checkedExample(t testing.TB) string {
	d := ezelpadExample().Service("feeds", "10.30.0.3:443", decl.Streams("/a/", "/b/"), decl.PlaceShare("namur-a", 1))
	b, err := d.JSON()
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestCheckDeclaration guards the findings in a declaration and their lines.
func TestCheckDeclaration(t *testing.T) {
	good := checkedExample(t)
	lineOf := func(file, part string) int {
		before, _, found := strings.Cut(file, part)
		if !found {
			t.Fatalf("%q is not in the file", part)
		}
		return strings.Count(before, "\n") + 1
	}
	if fs := checkDeclaration([]byte(good)); len(fs) != 0 {
		t.Fatalf("want no finding, have %+v", fs)
	}
	const e, w = lint.Error, lint.Warning
	for _, c := range []struct {
		old, replacement string
		severity         lint.Severity
		at               string // the finding is in the line of this part
		field, words     string
	}{
		{`"slots": 5`, `"slots": 5000`, e, `"slots": 5000`, "services[0].limits.slots", "1 to 1000"},
		{`"slots": 5`, `"slots": "5"`, e, `"slots": "5"`, "services[0].limits.slots", "whole number"},
		{`"liege-c"`, `"namur-b"`, e, `"namur-b",
      "region": "wallonia"
    }
`, "places[2].name", "twice"},
		{`"region"`, `"regoin"`, e, `"regoin"`, "places[0].regoin", "not a known field"},
		{`"/b/"`, `"b/"`, e, `"b/"`, "services[2].streamPaths[1]", "slash"},
		{`"/b/"`, `"/a/b/"`, w, `"/a/b/"`, "services[2].streamPaths[1]", "matches first"},
		{`"/b/"`, `"/b/../c/"`, w, `"/b/../c/"`, "services[2].streamPaths[1]", "never matches"},
		{`"/b/"`, `"/b//c"`, w, `"/b//c"`, "services[2].streamPaths[1]", "never matches"},
		{`"connections": 2000`, `"connections": 4`, w, `"limits"`, "services[0].limits", "less than slots"},
		{`"services"`, `"evacuated": ["namur-a", "namur-b", "liege-c"], "services"`, w, `"evacuated"`, "evacuated", "service map: every place"},
		{`"services"`, `"evacuated": ["olinda"], "services"`, e, `"evacuated"`, "evacuated[0]", "not declared"},
		{`"services"`, `"services" 7`, e, `"services"`, "", "not valid JSON"},
	} {
		file := strings.Replace(good, c.old, c.replacement, 1)
		line := lineOf(file, c.at)
		fs := checkDeclaration([]byte(file))
		if !hasFinding(fs, c.severity, line, c.field, c.words) {
			t.Errorf("%s: want %s in line %d, %s: ...%s..., have %+v", c.replacement, c.severity, line, c.field, c.words, fs)
		}
	}
}

// hasFinding reports whether there is a finding with the words in its message.
func hasFinding(fs []lint.Finding, s lint.Severity, line int, field, words string) bool {
	return slices.ContainsFunc(fs, func(f lint.Finding) bool {
		return f.Severity == s && f.Line == line && (f.Field == field || field == "") && strings.Contains(f.Message, words)
	})
}

// TestCheckWholeDeclaration guards the findings in files that are not declarations, and
// several at once.
func TestCheckWholeDeclaration(t *testing.T) {
	good := checkedExample(t)
	for _, bad := range []string{"", "null", good[:300], strings.Repeat("[", 100_000), `{"name": ` + strings.Repeat("[", 100_000)} {
		if fs := checkDeclaration([]byte(bad)); len(fs) != 1 || fs[0].Severity != lint.Error || fs[0].Line != strings.Count(bad, "\n")+1 {
			t.Errorf("%.40q: want one error, have %+v", bad, fs)
		}
	}
	const zero = `{"place": "namur-a", "weight": 0}, {"place": "namur-b", "weight": 0}, {"place": "liege-c", "weight": 0}`
	file := strings.Replace(good, `"name": "map",`, `"name": "map", "shares": [`+zero+"],", 1)
	if fs := checkDeclaration([]byte(file)); len(fs) != 1 || fs[0].Severity != lint.Warning || fs[0].Field != "services[1].shares" {
		t.Errorf("all weights are 0: want a warning, have %+v", fs)
	}
	// All errors are reported at once.
	file = strings.Replace(good, `"places": [`, `"places": [{"name": "", "region": "x"}, {"name": "y", "region": "-"},`, 1)
	if fs := checkDeclaration([]byte(file)); len(fs) < 2 || fs[0].Severity != lint.Error || fs[1].Severity != lint.Error {
		t.Errorf("want two errors, have %+v", fs)
	}
}

// TestCheck guards the difference from the version in force, from a file, and the
// warnings about upstreams that the platform lists.
func TestCheck(t *testing.T) {
	_, url := startPlatform(t, nil)
	file := filepath.Join(t.TempDir(), "declaration.json")
	write := func(old, replacement string) {
		t.Helper()
		if err := os.WriteFile(file, []byte(strings.Replace(checkedExample(t), old, replacement, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	run := func(f lint.Flags, wantStatus int, words ...string) {
		t.Helper()
		var out bytes.Buffer
		f.File, f.Timeout = file, 5*time.Second
		c := checkCmd{f}
		err := c.Flags.Run(t.Context(), &out, c.format())
		if err != nil {
			fmt.Fprint(&out, err)
		}
		for _, w := range words {
			if status := exitStatusOf(err); status != wantStatus || !strings.Contains(out.String(), w) {
				t.Errorf("want status %d and %q, have %d and %q", wantStatus, w, status, out.String())
			}
		}
	}
	inForce := lint.Flags{Against: lint.InForce, Platform: url}
	write("", "")
	run(inForce, 0, "+ place namur-a")
	apply := applyCmd{Platform: url, File: file, Timeout: 5 * time.Second, out: &bytes.Buffer{}}
	if err := apply.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	run(inForce, 0, "no difference from the version in force")
	object := json.RawMessage(`{"state": "serving", "service": "map", "place": "namur-a"}`)
	if _, err := plat.New(url, time.Second).Put(t.Context(), plat.KindEndpoint, "e1", object, 0); err != nil {
		t.Fatal(err)
	}
	previous := file + ".old"
	if err := os.Rename(file, previous); err != nil {
		t.Fatal(err)
	}
	write(`"services": [`, `"evacuated": ["namur-a"], "services": [`)
	run(inForce, 0, "~ place namur-a: evacuated no -> yes", "warning: evacuated: service map: all 1 serving")
	run(lint.Flags{Against: previous}, 0, "~ place namur-a: evacuated no -> yes")
	run(lint.Flags{Against: lint.InForce}, 2, "--platform")
	run(lint.Flags{Against: lint.InForce, Platform: "http://127.0.0.1:1"}, 2, "cannot be read")
}

func exitStatusOf(err error) int {
	if err == nil {
		return 0
	}
	if e, ok := err.(interface{ ExitCode() int }); ok {
		return e.ExitCode()
	}
	return -1
}

// FuzzCheckDeclaration guards against declarations that crash the check, and against
// errors that are found in valid ones or not found in others.
func FuzzCheckDeclaration(f *testing.F) {
	f.Add([]byte(checkedExample(f)))
	f.Add([]byte(`{"name": "main", "services": [{"shares": [{}], "streamPaths": ["/a", ""]}]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		fs := checkDeclaration(b)
		_, err := decl.Parse(b)
		if failed := slices.ContainsFunc(fs, func(f lint.Finding) bool { return f.Severity == lint.Error }); failed != (err != nil) {
			t.Fatalf("want %v, have %+v", err, fs)
		}
		for _, c := range fs {
			if c.Line < 1 || c.Line > bytes.Count(b, []byte{'\n'})+1 {
				t.Fatalf("have %+v", c)
			}
		}
	})
}
