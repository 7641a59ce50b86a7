package hostd

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// outcomeSamples is the number of requests that the moving average covers.
	// With 8, three failures in a row after successes mark an upstream as failing.
	outcomeSamples = 8
	// failingShare is the share of failed requests from which an upstream counts as
	// failing and gets new flows only as probes. Healthy upstreams fail almost none.
	failingShare = 0.3
	// probeInterval is the time between a failed probe and the next one. A failed
	// probe costs a caller one of its attempts.
	probeInterval = 400 * time.Millisecond
)

// outcomes tracks how the upstream ends requests, whatever it reports about itself.
// An upstream that resets requests, answers them at once or is slow would otherwise
// look like the least loaded one. A failing upstream gets new flows only if all other
// candidates are failing too, or as probes, one at a time.
type outcomes struct {
	// failureShare is a moving average of the share of failed requests, 0 to 1.
	failureShare float64
	// failing is set while the upstream gets new flows only as probes.
	failing bool
	// nextProbeAt is when the next probe may begin.
	nextProbeAt time.Duration
}

// add records the outcome of a request and reports whether failing has changed.
func (o *outcomes) add(now time.Duration, failed bool) bool {
	sample := 0.0
	o.nextProbeAt = now
	if failed {
		sample = 1
		o.nextProbeAt = now + probeInterval
	}
	o.failureShare += (sample - o.failureShare) / outcomeSamples
	before := o.failing
	o.failing = o.failureShare >= failingShare
	return o.failing != before
}

// mayProbe reports whether a failing upstream may get a new flow as a probe now.
// Urgent requests are not used as probes: they may have side effects, so their
// callers may be unable to retry them.
func (o *outcomes) mayProbe(now time.Duration, urgent bool) bool {
	return !urgent && now >= o.nextProbeAt
}

// probe records the start of a probe. The next one may begin at its outcome or after
// probeInterval.
func (o *outcomes) probe(now time.Duration) { o.nextProbeAt = now + probeInterval }

// observeAnswer records the outcome of a request if a packet of the upstream ends it.
// A FIN ends it too, because it may overtake the data of the answer.
func (c *Core) observeAnswer(now time.Duration, k flow.Key, p *flow.Packet) {
	e := c.table.Get(k)
	if e == nil || !e.Requested() || !p.Rst && !p.Fin && p.Size == 0 {
		return
	}
	c.departures.Add(now)
	free := c.table.Busy(now) <= c.room(now)
	failed := p.Rst || c.latency.unusual(e.Elapsed(now), free, c.outcomes.failing)
	if !p.Rst {
		c.measure(now, e, failed)
	}
	c.recordOutcome(now, failed)
}

// recordOutcome records whether a request failed and logs a change of the state.
func (c *Core) recordOutcome(now time.Duration, failed bool) {
	if failed {
		c.Counts.Broken++
	}
	if !c.outcomes.add(now, failed) {
		return
	}
	c.logFailing()
}

// resetOutcomes discards the measurements after a restart of the upstream.
func (c *Core) resetOutcomes() {
	failing := c.outcomes.failing
	c.outcomes, c.latency = outcomes{}, latency{}
	c.learning.gauge.Reset()
	if failing {
		c.logFailing()
	}
}

func (c *Core) logFailing() {
	l := c.Log.WithFields(logrus.Fields{"upstream": c.upstream.last.ID, "share": c.outcomes.failureShare})
	if c.outcomes.failing {
		l.WithField("event", "upstreamFailing").Warn("upstream is failing: it resets requests, answers them at once or is slow")
	} else {
		l.WithField("event", "upstreamRecovered").Info("upstream has recovered")
	}
}
