package front

import (
	"encoding/json"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
)

const (
	// evacuationPolls is the number of watch calls of all watchers together in the time in
	// which an evacuation must be in force.
	evacuationPolls = 6
	// maxAnnounceAge is the age of an agent's last announcement to this balancer up to which
	// the balancer tells it of a change. An agent announces itself to two balancers each
	// second.
	maxAnnounceAge = 3 * time.Second
)

// evacuations is what the balancer knows of evacuated places.
type evacuations struct {
	// set is replaced only by newer ones.
	set evac.Set
	// read is what this balancer has read on the platform by itself. It is behind set if
	// another one has read more. A watch returns the changes since read.
	read evac.Set
	// held is a set of a later era that lacks places of set. It counts from heldUntil on.
	held      evac.Set
	heldUntil time.Duration
	// confirmed records the answers of the platform about evacuations.
	confirmed confirmation
}

// evacuationsBody is the payload of an Evacuations frame between balancers.
type evacuationsBody struct {
	evac.Set
	// Confirmed is set if the platform has just answered the sender.
	Confirmed bool `json:"confirmed,omitempty"`
}

// Evacuates reports whether the deployment evacuates places.
func (c *Core) Evacuates() bool { return c.self.EvacuationLimit > 0 }

// Evacuations returns the evacuated places.
func (c *Core) Evacuations() evac.Set { return c.evacuations.set }

// NoteEvacuations handles an answer of the platform about evacuations: a complete list, or
// the changes of a watch. It tells the other balancers of it.
func (c *Core) NoteEvacuations(now time.Duration, l plat.List, complete bool) {
	s, odd := evac.Listed(l)
	if !complete {
		s, odd = c.evacuations.read.Apply(l)
	}
	c.evacuations.read = s
	if odd > 0 {
		c.Counts.OddEvacuations += uint64(odd)
		c.Log.WithFields(logrus.Fields{"event": "oddEvacuations", "objects": odd, "version": l.Version}).Warn("objects that name no place ignored")
	}
	c.evacuations.confirmed.at = now
	changed := c.mergeEvacuations(now, s, "platform")
	// A balancer that does not watch has read them at its start.
	if changed || c.watches(now, &c.evacuations.confirmed) {
		body := evacuationsBody{c.evacuations.set, true}
		for _, a := range c.Peers() {
			c.sendJSON(frame.Evacuations, body, a)
		}
	}
}

// mergeEvacuations takes over a newer set, and reports whether the places have changed.
// The agents that announce themselves to this balancer learn of it at once.
func (c *Core) mergeEvacuations(now time.Duration, s evac.Set, source string) bool {
	var changed bool
	before := c.evacuations.set.Places
	if c.holdEvacuations(now, s) {
		return false
	}
	if c.evacuations.set, changed = c.evacuations.set.Merge(s); !changed {
		return false
	}
	c.Counts.Evacuations++
	c.Log.WithFields(logrus.Fields{
		"event": "evacuation", "era": s.Era, "version": s.Version, "places": s.Places, "before": before, "source": source,
	}).Info("evacuated places changed")
	c.agents.regroup(c)
	for _, st := range c.agents.sorted() {
		if st.announcedAt > 0 && now-st.announcedAt <= maxAnnounceAge {
			c.sendJSON(frame.Evacuations, c.evacuations.set, st.entry.Key.Hop)
		}
	}
	return true
}

// holdEvacuations reports whether a set does not count yet. A store that has just come back
// from a copy may lack what the operator has written since, until it is written again.
func (c *Core) holdEvacuations(now time.Duration, s evac.Set) bool {
	e := &c.evacuations
	lacks := slices.ContainsFunc(e.set.Places, func(p ident.PlaceName) bool { return !s.Has(p) })
	if s.Era <= e.set.Era || !lacks {
		return false
	}
	if e.held.Era < s.Era {
		e.heldUntil = now + c.self.EvacuationLimit/evacuationPolls
	}
	if e.held.Stamp().Before(s.Stamp()) {
		e.held = s
	}
	return now < e.heldUntil
}

// releaseEvacuations takes over a set that was held for long enough.
func (c *Core) releaseEvacuations(now time.Duration) {
	if e := &c.evacuations; e.held.Version > 0 && now >= e.heldUntil {
		c.mergeEvacuations(now, e.held, "platform, after a copy")
		e.held = evac.Set{}
	}
}

// handleEvacuations handles the evacuated places that another balancer knows.
func (c *Core) handleEvacuations(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	var body evacuationsBody
	if !c.Evacuates() || json.Unmarshal(f.Payload, &body) != nil || !body.Valid() {
		c.Counts.Foreign++
		return
	}
	if body.Confirmed {
		c.noteAnswer(now, &c.evacuations.confirmed, from)
	}
	c.mergeEvacuations(now, body.Set, from.String())
}

// tellEvacuations sends the evacuated places to a balancer or agent that knows those of an
// earlier version.
func (c *Core) tellEvacuations(known plat.Stamp, to netip.AddrPort) {
	if c.Evacuates() && c.evacuations.set.Tells(known) {
		c.sendJSON(frame.Evacuations, c.evacuations.set, to)
	}
}

// noteAnnounced handles the evacuated places in the announcement of an agent; nil if it
// knows nothing of them. It may know more than a balancer that has just started.
func (c *Core) noteAnnounced(now time.Duration, s *evac.Set, from netip.AddrPort) {
	if st := c.agents.byAddr[from]; st != nil {
		st.announcedAt = now
	}
	if s == nil {
		s = &evac.Set{}
	}
	if c.Evacuates() && s.Valid() {
		c.mergeEvacuations(now, *s, from.String())
	}
	if c.Evacuates() && c.evacuations.set.Corrects(*s) {
		c.sendJSON(frame.Evacuations, c.evacuations.set, from)
		return
	}
	c.tellEvacuations(s.Stamp(), from)
}
