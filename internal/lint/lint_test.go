package lint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// TestParse guards the lines of values and the findings about files that are not JSON.
func TestParse(t *testing.T) {
	const file = "{\n \"a\": [1,\n  {\"b c\": \"x\"}, null\n ],\n \"d\":\n  true}\n"
	root, f := Parse([]byte(file))
	if f != nil {
		t.Fatal(f)
	}
	if want, have := `{"a":[1,{"b c":"x"},null],"d":true}`, root.String(); have != want {
		t.Errorf("want %s, have %s", want, have)
	}
	for path, line := range map[string]int{
		"": 1, "a": 2, "a[0]": 2, "a[1]": 3, `a[1]."b c"`: 3, "a[2]": 3, "a[2].gone": 3, "a[1].gone[4]": 3, "d": 5, "e": 1,
	} {
		if have := root.LineOf(path); have != line {
			t.Errorf("%q: want line %d, have %d", path, line, have)
		}
	}
	long := `{"` + strings.Repeat("x", 1<<20) + `": [` + strings.Repeat("0,", 1<<19) + "]}"
	if _, f := Parse([]byte(long)); f == nil || len(f.Field) > 2*maxNameLength {
		t.Errorf("a long name: want a short path, have %+v", f)
	}
	for _, c := range []struct {
		file  string
		line  int
		field string
		words string
	}{
		{"", 1, "", "ends early"},
		{"{\n\"a\": [1,\n", 2, "a[1]", "ends early"},
		{"{\n\"a\": \"x", 2, "a", "ends early"},
		{"{\n\"a\": 1\n\"b\": 2}", 3, "", "not valid JSON"},
		{"{\n\"a\":\n x}", 3, "a", "not valid JSON"},
		{"{}\n\n{}", 3, "", "other data"},
		{strings.Repeat("[", 1<<20), 1, strings.Repeat("[0]", maxDepth+1), "nested deeper"},
		{strings.Repeat(`{"a":`, 1<<18), 1, strings.TrimPrefix(strings.Repeat(".a", maxDepth+1), "."), "nested deeper"},
	} {
		_, f := Parse([]byte(c.file))
		if f == nil || f.Line != c.line || f.Field != c.field || !strings.Contains(f.Message, c.words) || f.Severity != Error {
			t.Errorf("%.40q: want %q in line %d of %q, have %+v", c.file, c.words, c.line, c.field, f)
		}
	}
}

// TestRun guards the exit statuses and both forms of the output.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	for name, text := range map[string]string{"clean": "c", "warn": "w", "bad": "b", "old": "o", "unreadable": "u"} {
		if err := os.WriteFile(path(name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	large, err := os.Create(path("large"))
	if err != nil {
		t.Fatal(err)
	}
	defer large.Close()
	if err := large.Truncate(maxFileSize + 1); err != nil {
		t.Fatal(err)
	}
	format := Format{
		Check: func(b []byte) []Finding {
			switch string(b) {
			case "w":
				return []Finding{{Severity: Warning, Line: 3, Field: "a.b", Message: "odd"}}
			case "b":
				return []Finding{{Severity: Error, Message: "wrong"}}
			}
			return nil
		},
		ReadInForce: func(context.Context, []byte) ([]byte, []Finding, error) {
			return []byte("o"), []Finding{{Severity: Error, Message: "ignored"}}, nil
		},
		Compare: func(old, _ []byte) ([]string, error) {
			if string(old) != "o" {
				return nil, errors.New("odd version")
			}
			return []string{"~ x"}, nil
		},
	}
	for _, c := range []struct {
		flags  Flags
		status int
		words  string
	}{
		{Flags{File: path("clean")}, 0, "errors 0, warnings 0"},
		{Flags{File: path("warn")}, 0, "warn:3: warning: a.b: odd"},
		{Flags{File: path("warn"), Strict: true}, 1, "warnings 1"},
		{Flags{File: path("bad"), Against: path("old")}, 1, "bad: error: wrong"},
		{Flags{File: path("clean"), Against: path("old")}, 0, "~ x"},
		{Flags{File: path("clean"), Against: InForce}, 1, "clean: error: ignored"},
		{Flags{File: path("clean"), Against: path("unreadable")}, 2, "unreadable cannot be compared"},
		{Flags{File: path("clean"), Against: path("missing")}, 2, "missing"},
		{Flags{File: path("missing")}, 2, "missing"},
		{Flags{File: path("large")}, 2, "more than"},
	} {
		out, status := run(t, c.flags, format)
		if status != c.status || !strings.Contains(out, c.words) {
			t.Errorf("%+v: want status %d and %q, have %d and %q", c.flags, c.status, c.words, status, out)
		}
	}
	var r Report
	f := Flags{File: path("warn"), Against: path("old"), JSON: true}
	out, _ := run(t, f, format)
	err = json.Unmarshal([]byte(out), &r)
	if want := (Finding{Warning, f.File, 3, "a.b", "odd"}); err != nil || !slices.Equal(r.Findings, []Finding{want}) || len(r.Differences) != 1 {
		t.Errorf("want %+v and a difference, have %s, %v", want, out, err)
	}
}

// run returns the output with the error, and the exit status.
func run(t *testing.T, f Flags, format Format) (string, int) {
	var out bytes.Buffer
	err := f.Run(t.Context(), &out, format)
	if err == nil {
		return out.String(), 0
	}
	out.WriteString(err.Error())
	var exit *ExitError
	if !errors.As(err, &exit) {
		return out.String(), -1
	}
	return out.String(), exit.ExitCode()
}

// FuzzParse guards against files that crash a check or have findings outside the file.
func FuzzParse(f *testing.F) {
	f.Add([]byte("{\"a\": [1, \n{}]}"))
	f.Add([]byte("[[[["))
	f.Fuzz(func(t *testing.T, b []byte) {
		root, found := Parse(b)
		lines := bytes.Count(b, []byte{'\n'}) + 1
		if found != nil && (found.Line < 1 || found.Line > lines || found.Message == "") {
			t.Fatalf("want a line from 1 to %d, have %+v", lines, found)
		}
		if n := root.LineOf("a[1].b"); n < 1 || n > lines {
			t.Fatalf("want a line from 1 to %d, have %d", lines, n)
		}
		if found == nil && !json.Valid(b) {
			t.Fatal("want a finding, have none")
		}
	})
}
