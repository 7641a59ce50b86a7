package front

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// evacuating returns a balancer that knows some evacuated places.
func evacuating(v plat.Version, places ...ident.PlaceName) *Core {
	c := quietCore(CoreConfig{Name: "z", Place: "z", EvacuationLimit: 5 * time.Second, ConfigLimit: time.Hour})
	c.mergeEvacuations(0, evac.Set{Version: v, Places: places}, "peer")
	return c
}

// TestEvacuationsRestored guards the evacuated places after the store was restored from
// a copy: its versions are lower than those known, and what changes until they are
// higher must not be missed.
func TestEvacuationsRestored(t *testing.T) {
	c := evacuating(100, "a")
	c.NoteEvacuations(0, plat.List{Version: 50, Objects: []plat.Object{{Name: "b"}}}, true)
	if have := c.Evacuations().Places; !slices.Equal(have, []ident.PlaceName{"a"}) {
		t.Errorf("an older version counts: %q", have)
	}
	c.NoteEvacuations(0, plat.List{Version: 60, Objects: []plat.Object{{Name: "c"}}}, false)
	c.NoteEvacuations(0, plat.List{Version: 101, Objects: []plat.Object{{Name: "d"}}}, false)
	if have := c.Evacuations().Places; !slices.Equal(have, []ident.PlaceName{"b", "c", "d"}) {
		t.Errorf("after the store has caught up: have %q", have)
	}
}

// TestEvacuationsBeyondDatagram checks that a place for which the datagram had no room is
// evacuated once there is.
func TestEvacuationsBeyondDatagram(t *testing.T) {
	c := evacuating(1)
	l := plat.List{Version: 2}
	for n := range 200 {
		l.Objects = append(l.Objects, plat.Object{Name: fmt.Sprintf("place%03d", n)})
	}
	c.NoteEvacuations(0, l, true)
	fit := len(c.Evacuations().Places)
	next := ident.PlaceName(fmt.Sprintf("place%03d", fit))
	if c.Evacuations().Has(next) {
		t.Fatalf("%d places fit", fit)
	}
	c.NoteEvacuations(0, plat.List{Version: 3, Objects: []plat.Object{{Name: "place000", Deleted: true}}}, false)
	if !c.Evacuations().Has(next) || c.Evacuations().Has("place000") {
		t.Errorf("have %q", c.Evacuations().Places)
	}
}
