package hostd

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/gauge"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

const (
	// learnLogInterval is the minimum time between two log lines about the measured
	// speed, and between two about the measured room.
	learnLogInterval = time.Second
	// peerWorkShare is the work time of an unmeasured upstream relative to the time in
	// which others expect to serve a request, which includes some waiting.
	peerWorkShare = 0.8
)

// learning holds what the agent measures about its upstream if CoreConfig.LearnRoom
// is set. Otherwise it is not used.
type learning struct {
	gauge gauge.Gauge
	// loggedRoom is the room in the latest log line about it. The latest lines about the
	// speed and the room were written at workAt and roomAt.
	loggedRoom     int
	workAt, roomAt time.Duration
}

// room returns the number of requests that the upstream takes well at once: the measured
// one or the declared slots.
func (c *Core) room(now time.Duration) int {
	if !c.self.LearnRoom {
		return c.upstream.concurrency()
	}
	return c.learning.gauge.Room(now, c.upstream.concurrency())
}

// capacity returns the room as a measure of the capacity, which is lower during the
// warm-up.
func (c *Core) capacity(now time.Duration) float64 {
	if !c.self.LearnRoom {
		return c.upstream.slots(now)
	}
	return float64(c.room(now)) * c.warmShare(now)
}

// warmShare returns the capacity of the upstream relative to that after its warm-up.
func (c *Core) warmShare(now time.Duration) float64 {
	return c.upstream.slots(now) / float64(max(1, c.upstream.concurrency()))
}

// spareUrgency returns the urgency that decides on flows beyond the room. Where fewer
// requests at once are good than the upstream declares, it would not queue further ones
// but serve all of them more slowly.
func (c *Core) spareUrgency(u queue.Urgency) queue.Urgency {
	if c.self.LearnRoom && c.learning.gauge.Restricted() {
		return queue.Late
	}
	return u
}

// measure records the work time of an answered request. Quick failures say nothing
// about it, and neither does an upstream that is still cold.
func (c *Core) measure(now time.Duration, e *flow.Entry, failed bool) {
	g := &c.learning.gauge
	if !c.self.LearnRoom || c.warmShare(now) < 1 || failed && e.Elapsed(now) < g.Work() {
		return
	}
	s := gauge.Sample{Took: e.Elapsed(now), AtOnce: e.AtOnce(), First: c.table.EndsFirst(e), Class: e.Class}
	before := g.Work()
	if g.Add(now, s, c.upstream.concurrency()) && now-c.learning.workAt >= learnLogInterval {
		c.Log.WithFields(logrus.Fields{
			"event": "upstreamSpeed", "upstream": c.upstream.last.ID, "work": g.Work(), "before": before,
			"others": g.Peers(now), "busy": c.table.Busy(now), "room": c.room(now),
		}).Info("the work time of the upstream has changed")
		c.learning.workAt = now
	}
}

// logRoom logs a changed room.
func (c *Core) logRoom(now time.Duration) {
	l := &c.learning
	if !c.self.LearnRoom || !c.upstream.reported {
		return
	}
	room := c.room(now)
	if l.loggedRoom == 0 {
		l.loggedRoom = c.upstream.concurrency()
	}
	if room == l.loggedRoom || now-l.roomAt < learnLogInterval {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"event": "learnedRoom", "upstream": c.upstream.last.ID, "room": room, "before": l.loggedRoom,
		"slots": c.upstream.last.Slots, "work": l.gauge.Work(),
	}).Info("the upstream takes another number of requests well at once")
	l.loggedRoom, l.roomAt = room, now
}

// assumedWork returns the work time that is assumed before it is measured. It has an upper
// bound that does not depend on others: they may assume theirs from it.
func (c *Core) assumedWork(now time.Duration) time.Duration {
	if p := c.learning.gauge.Peers(now); p > 0 {
		return min(time.Duration(peerWorkShare*float64(p)), c.table.Work())
	}
	return c.table.Work()
}

// compare adds to the load of an offer what is known about the speed of the upstream and
// of others. A slow upstream gets a request that is not urgent from time to time, so that
// a recovery is noticed. Once a second an offer is passed on to show others the time. An
// upstream that does not get the flow needs neither.
func (c *Core) compare(now time.Duration, f *frame.Frame, l *place.Load) {
	if !c.self.LearnRoom {
		return
	}
	g := &c.learning.gauge
	if f.Service == c.upstream.id() {
		place.PeerTimes(f, func(d time.Duration) { g.SawPeer(now, d) })
	}
	if l.Closed || l.Failing {
		return
	}
	l.Work, l.Peers = g.Work(), g.Peers(now)
	if l.Work == 0 {
		l.Work, l.Peers = c.assumedWork(now), 0
	}
	l.Delay = c.delay(now, l.Work)
	if l.Slow() && g.TrialDue(now) && !queue.Urgent(f.Priority) {
		g.Tried(now)
		l.Peers = 0
		c.Counts.Remeasured++
		return
	}
	mayShow := f.Kind == frame.Offer && f.Position+1 < len(f.Candidates) && !queue.Urgent(f.Priority)
	l.Show = mayShow && g.ShowDue(now)
}
