package hostd

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// evacuated reports whether the agent's place is evacuated. Its upstream then gets no new
// flows, also from balancers that do not know it; open flows go on.
func (c *Core) evacuated() bool { return c.evacuations.Has(c.self.Place) }

// handleEvacuations handles the evacuated places that a balancer knows.
func (c *Core) handleEvacuations(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	s, ok := evac.Parse(f.Payload)
	if !ok || c.self.EvacuationLimit == 0 {
		c.Counts.Foreign++
		return
	}
	before := c.evacuated()
	var changed bool
	if c.evacuations, changed = c.evacuations.Merge(s); !changed {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"event": "evacuation", "era": s.Era, "version": s.Version, "places": s.Places, "source": from, "evacuated": c.evacuated(),
	}).Info("evacuated places changed")
	switch {
	case c.evacuated() && !before:
		c.Counts.Evacuated++
		c.admitWaiting(now)
	case before && !c.evacuated():
		c.upstream.expectCold(now)
	}
}

// handBackWaiting returns all waiting packets to their balancers, which offer them to
// agents in other places.
func (c *Core) handBackWaiting(now time.Duration) {
	items := c.waiting.Clear()
	for _, i := range items {
		// Without candidates, the loads that they reported do not count.
		c.waitingOpenings[i.Key].frame.Candidates = nil
	}
	c.Counts.HandedBack += uint64(len(items))
	c.rejectWaiting(now, "evacuated", items...)
}
