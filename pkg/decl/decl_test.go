package decl

import (
	"bytes"
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
)

func sampleDeclaration() *Declaration {
	return New("main").
		Place("recife", "nordeste").
		Service("listas", "10.0.0.1:443", Streams("/feeds/"), PlaceShare("recife", 2), WithLimits(Limits{Slots: 4}))
}

// TestParseErrors checks that errors of Parse name the path of the invalid field.
func TestParseErrors(t *testing.T) {
	good, err := sampleDeclaration().JSON()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, path, reason string }{
		{`"region"`, `"regoin"`, "places[0].regoin", "not a known field"},
		{`"slots"`, `"Slots"`, "services[0].limits.Slots", "not a known field"},
		{`"slots": 4`, `"slots": "4"`, "services[0].limits.slots", "whole number"},
		{`"slots": 4`, `"slots": 4.5`, "services[0].limits.slots", "whole number"},
		{`"slots": 4`, `"slots": 4000`, "services[0].limits.slots", "1 to 1000"},
		{`"slots": 4`, `"slots": 4, "slots": 5`, "services[0].limits.slots", "twice"},
		{`"weight": 2`, `"weight": 1e999`, "services[0].shares[0].weight", "must be a number"},
		{`"weight": 2`, `"weight": -1`, "services[0].shares[0].weight", "0 to 1000"},
		{`"place": "recife"`, `"place": "olinda"`, "services[0].shares[0].place", "not declared"},
		{`"/feeds/"`, `"feeds"`, "services[0].streamPaths[0]", "slash"},
		{`"/feeds/"`, `null`, "services[0].streamPaths[0]", "must be a string"},
		{`"10.0.0.1:443"`, `"[::1]:443"`, "services[0].address", "IPv4"},
		{`"main"`, `"a/b"`, "name", "letters"},
		{`"services"`, `"evacuated": "recife", "services"`, "evacuated", "must be a list"},
		{`"services"`, `"evacuated": [1], "services"`, "evacuated[0]", "must be a string"},
		{`"services"`, `"evacuated": ["recife", "olinda"], "services"`, "evacuated[1]", "not declared"},
		{`"services"`, `"evacuated": ["recife", "recife"], "services"`, "evacuated[1]", "twice"},
		{`"services"`, `"evacuated": [""], "services"`, "evacuated[0]", "empty"},
		{`"main"`, `"a" "b"`, "declaration", "not valid JSON"},
		{`"nordeste"`, `"nordeste`, "places[0].region", "not valid JSON"},
	} {
		_, err := Parse(bytes.Replace(good, []byte(c.old), []byte(c.new), 1))
		wantError(t, c.new, err, c.path, c.reason)
	}
	_, err = Parse(append(good, "{}"...))
	wantError(t, "trailing data", err, "declaration", "followed by other data")
	_, err = Parse(good[:len(good)-1])
	wantError(t, "truncated", err, "declaration", "ends early")
	_, err = Parse(nil)
	wantError(t, "empty", err, "declaration", "ends early")
}

func wantError(t *testing.T, name string, err error, path, reason string) {
	t.Helper()
	var f *FieldError
	if !errors.As(err, &f) || f.Path != path || !strings.Contains(f.Reason, reason) {
		t.Errorf("%s: want %s: ...%s..., have %v", name, path, reason, err)
	}
}

// TestBuildErrors checks that errors of declarations built in Go name the path of
// the invalid field.
func TestBuildErrors(t *testing.T) {
	for _, c := range []struct {
		d            *Declaration
		path, reason string
	}{
		{New(""), "name", "empty"},
		{sampleDeclaration().Place("recife", "nordeste"), "places[1].name", "twice"},
		{sampleDeclaration().Service("listas", "10.0.0.1:444"), "services[1].name", "twice"},
		{sampleDeclaration().Service("fichas", "10.0.0.1:443"), "services[1].address", "two services"},
		{sampleDeclaration().Service("fichas", "10.0.0.2:443", GroupShare("g", math.NaN())), "services[1].shares[0].weight", "0 to 1000"},
		{sampleDeclaration().Service("fichas", "10.0.0.2:443", GroupShare("g", 1), GroupShare("g", 2)), "services[1].shares[1]", "twice"},
		{sampleDeclaration().Service("fichas", "10.0.0.2:443", WithLimits(Limits{Queue: -1})), "services[1].limits.queue", "1 to 10000"},
	} {
		wantError(t, c.path, c.d.Print(&bytes.Buffer{}), c.path, c.reason)
	}
}

// TestDifferences checks the lines that an operator reads before applying a
// declaration.
func TestDifferences(t *testing.T) {
	next := New("main").
		Place("recife", "nordeste").
		Place("salvador", "nordeste").
		Service("listas", "10.0.0.1:443", Streams("/feeds/"), PlaceShare("recife", 1), GroupShare("new", 0.1), WithLimits(Limits{Slots: 8}))
	want := []string{
		"+ place salvador: region nordeste",
		"~ service listas: slots 4 -> 8",
		"~ service listas: share of place recife 2 -> 1",
		"~ service listas: share of group new none -> 0.1",
	}
	if have := Differences(sampleDeclaration(), next); !slices.Equal(want, have) {
		t.Errorf("want %q, have %q", want, have)
	}
	want = []string{
		"- place recife: region nordeste",
		"- service listas: address 10.0.0.1:443, slots 4, queue 64, connections 2000, requestBytes 1048576, streamPaths /feeds/, share of place recife 2",
	}
	if have := Differences(sampleDeclaration(), nil); !slices.Equal(want, have) {
		t.Errorf("want %q, have %q", want, have)
	}
	if have := Differences(sampleDeclaration(), sampleDeclaration()); have != nil {
		t.Errorf("want no lines, have %q", have)
	}
}

// TestEvacuated guards against an evacuation that the difference does not show or
// that the JSON form loses, and against services that are left without a place
// unnoticed.
func TestEvacuated(t *testing.T) {
	next := sampleDeclaration().Evacuate("recife")
	b, err := next.JSON()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := Parse(b)
	if err != nil || !parsed.Evacuates("recife") || parsed.Evacuates("olinda") {
		t.Errorf("want recife evacuated, have %v, %v", parsed, err)
	}
	if want, have := []string{"~ place recife: evacuated no -> yes"}, Differences(sampleDeclaration(), next); !slices.Equal(want, have) {
		t.Errorf("want %q, have %q", want, have)
	}
	if want, have := []string{"~ place recife: evacuated yes -> no"}, Differences(next, sampleDeclaration()); !slices.Equal(want, have) {
		t.Errorf("want %q, have %q", want, have)
	}
	for _, c := range []struct {
		d    *Declaration
		want []string
	}{
		{sampleDeclaration(), nil},
		{next, []string{"listas"}},
		{sampleDeclaration().Place("olinda", "nordeste").Evacuate("recife"), nil},
		{sampleDeclaration().Place("olinda", "nordeste").Evacuate("olinda"), nil},
		{New("main").Place("recife", "r").Place("olinda", "r").Evacuate("recife").
			Service("listas", "10.0.0.1:443", PlaceShare("olinda", 0)).Service("fichas", "10.0.0.2:443"), []string{"listas"}},
	} {
		if have := c.d.Unserved(); !slices.Equal(c.want, have) {
			t.Errorf("evacuated %v: want %q unserved, have %q", c.d.Evacuated, c.want, have)
		}
	}
}

// FuzzParse checks that Parse does not panic, that its errors have a path, and
// that parsing the canonical form of a declaration yields the same declaration.
func FuzzParse(f *testing.F) {
	good, _ := sampleDeclaration().JSON()
	f.Add(good)
	f.Add([]byte(`{"name": "main", "places": [], "services": [{"limits": {}}]}`))
	f.Add([]byte(`{""0`))             // the error path of an empty field name was empty
	f.Add([]byte(`{"name": "main"}`)) // absent lists were printed as null
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Parse(b)
		if err != nil {
			var fe *FieldError
			if !errors.As(err, &fe) || fe.Path == "" {
				t.Fatalf("want an error with a path, have %v", err)
			}
			return
		}
		first, err := d.JSON()
		if err != nil {
			t.Fatal(err)
		}
		again, err := Parse(first)
		if err != nil {
			t.Fatal(err)
		}
		if second, _ := again.JSON(); !bytes.Equal(first, second) || Differences(d, again) != nil {
			t.Fatalf("want %s, have %s", first, second)
		}
	})
}
