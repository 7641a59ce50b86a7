package hostd

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/ramp"
)

// expectCold makes the upstream count as cold until its next report, because it got no
// requests for a while or may have restarted.
func (u *upstream) expectCold(now time.Duration) { u.ramp.Expect(now) }

// announceLimit records what the balancer of an opening packet says about the cold
// upstreams of the service.
func (c *Core) announceLimit(now time.Duration, f *frame.Frame) {
	if f.Service != c.upstream.id() {
		return
	}
	full := float64(c.upstream.concurrency()) / max(c.table.Work(), time.Millisecond).Seconds()
	c.upstream.ramp.Announce(now, ramp.Limit{PerSecond: f.ColdRate, Warmup: f.Warmup}, full)
	c.noteWarmth(now)
}

// noteWarmth logs that the limit of the upstream has changed.
func (c *Core) noteWarmth(now time.Duration) {
	u := &c.upstream
	s := u.ramp.State(now)
	if s == u.warmth {
		return
	}
	c.Log.WithFields(logrus.Fields{
		"event": "warmth", "upstream": u.last.ID, "before": u.warmth, "state": s,
		"coldRate": u.ramp.Limit().PerSecond, "reportAge": now - u.reportAt,
	}).Info("limit for a cold upstream changed")
	u.warmth = s
}

// turn returns the time until the upstream may get one more new flow, behind those that
// wait; 0 unless it is cold.
func (c *Core) turn(now time.Duration) time.Duration {
	return c.upstream.ramp.Wait(now, c.waiting.Len())
}

// delay returns turn in multiples of a work time.
func (c *Core) delay(now, work time.Duration) float64 {
	return float64(c.turn(now)) / float64(max(work, time.Millisecond))
}

// mayWait reports whether an opening packet may wait in the queue for a time.
func (c *Core) mayWait(now, wait time.Duration, i *queue.Item) bool {
	return wait == 0 || i.LastsUntil(now, now+wait, c.serviceTimes())
}

// passOn handles an opening packet whose turn at the cold upstream does not come in time.
// One that was placed here goes to another candidate that takes it. Otherwise all are
// closed, and the balancer offers it to agents that were not asked.
func (c *Core) passOn(now time.Duration, f *frame.Frame) {
	c.Counts.ColdPassed++
	if f.Kind == frame.Placed && place.Pass(f) {
		c.Counts.Forwarded++
		c.send(f, f.Candidates[f.Position].Addr)
		return
	}
	c.refuse(now, f)
}

// wakeForTurn makes Tick due when the next waiting packet has its turn.
func (c *Core) wakeForTurn(now time.Duration) {
	if c.waiting.Len() == 0 {
		return
	}
	if w := c.upstream.ramp.Wait(now, 0); w > 0 {
		c.nextTick = min(c.nextTick, now+w)
	}
}
