package front

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/frame"
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

// TestEvacuationOutlivesCopy guards an evacuated place after the store has come back from an
// older copy and until the operator's object is written again; and one that was taken back.
func TestEvacuationOutlivesCopy(t *testing.T) {
	const moment = 100 * time.Millisecond
	for _, again := range []bool{true, false} {
		c := evacuating(100, "a", "b")
		c.NoteEvacuations(0, plat.List{Era: 2, Version: 50, Objects: []plat.Object{{Name: "b"}}}, true)
		if !c.Evacuations().Has("a") {
			t.Error("the place is open at once")
		}
		if again {
			c.NoteEvacuations(moment, plat.List{Era: 2, Version: 51, Objects: []plat.Object{{Name: "a"}}}, false)
		}
		if s := c.Evacuations(); again != (s.Stamp() == plat.Stamp{Era: 2, Version: 51}) || !s.Has("a") {
			t.Errorf("written again %v: have %+v", again, s)
		}
		c.releaseEvacuations(c.self.EvacuationLimit / 4)
		if s := c.Evacuations(); s.Has("a") != again || !s.Has("b") || s.Era != 2 {
			t.Errorf("written again %v, later: have %+v", again, s)
		}
		c.NoteEvacuations(c.self.EvacuationLimit/4, plat.List{Era: 2, Version: 52, Objects: []plat.Object{{Name: "b", Deleted: true}}}, false)
		if s := c.Evacuations(); s.Has("b") {
			t.Errorf("a place taken back in this era: have %+v", s)
		}
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

// TestEvacuationsSkipped guards a place that was taken back against an agent that still
// takes it for evacuated: its balancer was told nothing of the whole evacuation.
func TestEvacuationsSkipped(t *testing.T) {
	c := evacuating(5)
	c.mergeEvacuations(0, evac.Set{Version: 11}, "peer")
	var sent []evac.Set
	c.ToAgent = func(b []byte, _ netip.AddrPort) {
		var f frame.Frame
		if f.Parse(b) && f.Kind == frame.Evacuations {
			s, _ := evac.Parse(f.Payload)
			sent = append(sent, s)
		}
	}
	agent := netip.MustParseAddrPort("10.0.0.9:7000")
	c.noteAnnounced(0, &evac.Set{Version: 10, Places: []ident.PlaceName{"a"}}, agent)
	if len(sent) != 1 || sent[0].Version != 11 || len(sent[0].Places) > 0 {
		t.Errorf("the agent is told %v", sent)
	}
	c.noteAnnounced(0, &evac.Set{Version: 7}, agent)
	if len(sent) != 1 {
		t.Errorf("an agent with the same places is told %v", sent[1:])
	}
}
