package evac

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

func list(v plat.Version, os ...plat.Object) plat.List { return plat.List{Version: v, Objects: os} }

func want(t *testing.T, s Set, v plat.Version, places ...ident.PlaceName) {
	t.Helper()
	if s.Version != v || !slices.Equal(s.Places, places) {
		t.Errorf("want %q at version %d, have %q at %d", places, v, s.Places, s.Version)
	}
}

// TestObjects checks which objects evacuate a place: not those that name none, nor those
// that are deleted or being deleted, whatever their values.
func TestObjects(t *testing.T) {
	odd := []string{"", strings.Repeat("x", maxNameBytes+1), "a\x00", "a\"", "\xff"}
	l := list(7, plat.Object{Name: "b", Value: json.RawMessage("[")}, plat.Object{Name: "a"}, plat.Object{Name: "c", Deleting: true}, plat.Object{Name: "b"})
	for _, n := range odd {
		l.Objects = append(l.Objects, plat.Object{Name: n})
	}
	s, n := Listed(l)
	want(t, s, 7, "a", "b")
	if n != len(odd) {
		t.Errorf("want %d odd objects, have %d", len(odd), n)
	}
	if !s.Has("a") || s.Has("c") || s.Has("") {
		t.Errorf("have %q", s.Places)
	}
	after, _ := s.Apply(list(9, plat.Object{Name: "a", Deleting: true}, plat.Object{Name: "c"}, plat.Object{Name: "c", Deleted: true}, plat.Object{Name: "d"}))
	want(t, after, 9, "b", "d")
	want(t, s, 7, "a", "b")
}

// TestMerge checks that a set never goes back, and who has to be told of it.
func TestMerge(t *testing.T) {
	var s Set
	s, changed := s.Merge(Set{Version: 5})
	if want(t, s, 5); changed || s.Tells(plat.Stamp{Version: 0}) {
		t.Errorf("no place: changed %v, tells %v", changed, s.Tells(plat.Stamp{Version: 0}))
	}
	s, changed = s.Merge(Set{Version: 8, Places: []ident.PlaceName{"a"}})
	if want(t, s, 8, "a"); !changed || !s.Tells(plat.Stamp{Version: 0}) || !s.Tells(plat.Stamp{Version: 7}) || s.Tells(plat.Stamp{Version: 8}) {
		t.Errorf("a place: changed %v, since %d", changed, s.Since)
	}
	for _, o := range []Set{{Version: 8}, {Version: 7, Places: []ident.PlaceName{"b"}}} {
		if s, changed = s.Merge(o); changed {
			t.Errorf("version %d replaces 8", o.Version)
		}
	}
	if s, changed = s.Merge(Set{Version: 20, Places: []ident.PlaceName{"a"}}); changed || s.Tells(plat.Stamp{Version: 8}) {
		t.Errorf("the same place: changed %v, since %d", changed, s.Since)
	}
	if s, changed = s.Merge(Set{Version: 21}); !changed || !s.Tells(plat.Stamp{Version: 20}) || s.Tells(plat.Stamp{Version: 0}) {
		t.Errorf("taken back: changed %v, since %d", changed, s.Since)
	}
}

// TestBound checks that any set fits into a datagram and comes back from it, and that
// others are refused.
func TestBound(t *testing.T) {
	var l plat.List
	for n := range 200 {
		l.Objects = append(l.Objects, plat.Object{Name: fmt.Sprint("place", n)})
	}
	l.Version = 1 << 60
	s, dropped := Listed(l)
	b, _ := json.Marshal(s)
	if dropped == 0 || len(s.Places)+dropped != 200 || len(b) > 1100 {
		t.Fatalf("%d places, %d dropped, %d bytes", len(s.Places), dropped, len(b))
	}
	if have, ok := Parse(b); !ok || have.Version != s.Version || !slices.Equal(have.Places, s.Places) {
		t.Errorf("have %v, %+v", ok, have)
	}
	for _, bad := range []string{"", "[]", `{}`, `{"places":["a"]}`, `{"version":1,"places":["b","a"]}`, `{"version":1,"places":[""]}`, `{"version":1,"places":["a","a"]}`, `{"version":-1}`} {
		if _, ok := Parse([]byte(bad)); ok {
			t.Errorf("%s is accepted", bad)
		}
	}
}

// FuzzParse checks that whatever another process sends is refused or comes back the same,
// and that the removal of all its places leaves none.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"version":8,"places":["a","b"]}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, ok := Parse(b)
		if !ok {
			return
		}
		encoded, err := json.Marshal(s)
		if again, ok := Parse(encoded); err != nil || !ok || again.Version != s.Version || !slices.Equal(again.Places, s.Places) {
			t.Fatalf("%q came back as %+v, %v", encoded, again, err)
		}
		l := plat.List{Version: s.Version}
		for _, p := range s.Places {
			l.Objects = append(l.Objects, plat.Object{Name: string(p), Deleted: true})
		}
		if left, _ := s.Apply(l); len(left.Places) > 0 {
			t.Fatalf("%q left %q", b, left.Places)
		}
	})
}

// TestEras guards the places that a store names after it has come back from a copy, with
// lower versions, against those that were known before and arrive late.
func TestEras(t *testing.T) {
	later := plat.List{Era: 2, Version: 5, Objects: []plat.Object{{Name: "b"}}}
	s, _ := Listed(list(8, plat.Object{Name: "a"}))
	next, _ := Listed(later)
	s, changed := s.Merge(next)
	if want(t, s, 5, "b"); !changed || s.Era != 2 || !s.Tells(plat.Stamp{Version: 8}) || !s.Tells(plat.Stamp{Era: 1, Version: 9}) || s.Tells(plat.Stamp{Era: 2, Version: 5}) {
		t.Errorf("changed %v, have %+v", changed, s)
	}
	for _, late := range []Set{{Version: 90, Places: []ident.PlaceName{"a"}}, {Era: 1, Version: 90}, {Era: 2, Version: 4}} {
		if _, changed := s.Merge(late); changed || late.Corrects(s) || !s.Corrects(late) {
			t.Errorf("%+v replaces %+v", late, s)
		}
	}
	b, _ := json.Marshal(s)
	if have, ok := Parse(b); !ok || have.Stamp() != s.Stamp() {
		t.Errorf("%s came back as %+v", b, have)
	}
	s, changed = s.Merge(Set{Era: 3, Version: 1, Places: s.Places})
	if s.Stamp() != (plat.Stamp{Era: 3, Version: 1}) || changed || s.Tells(plat.Stamp{Era: 2, Version: 5}) {
		t.Errorf("the same places: changed %v, have %+v", changed, s)
	}
	if b, _ = json.Marshal(Set{Version: 8}); string(b) != `{"version":8}` {
		t.Errorf("without an era: %s", b)
	}
}
