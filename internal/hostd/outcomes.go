package hostd

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// outcomeSamples is the number of requests that the share of failures reaches
	// back: three failures in a row after successes make an upstream failing.
	outcomeSamples = 8
	// failingShare is the share of failed requests from which on an upstream gets
	// new flows only as probes. Healthy upstreams break off next to none.
	failingShare = 0.3
	// probeInterval is the time between a failed probe and the next one. A probe
	// costs a caller one of its attempts.
	probeInterval = 400 * time.Millisecond
)

// outcomes judges an upstream by how it ends requests: an upstream that breaks
// them off, answers them at once or is slow would look like the least loaded one,
// whatever it reports about itself. A failing upstream gets new flows only where all other
// candidates fail too, and one at a time as a probe.
type outcomes struct {
	// share is a moving average of the failures among the requests.
	share float64
	// failing is set while the upstream gets new flows only as probes.
	failing bool
	// next is when the next probe may begin.
	next time.Duration
}

// add takes the end of a request and reports whether the verdict has changed.
func (o *outcomes) add(now time.Duration, failed bool) bool {
	sample := 0.0
	o.next = now
	if failed {
		sample = 1
		o.next = now + probeInterval
	}
	o.share += (sample - o.share) / outcomeSamples
	before := o.failing
	o.failing = o.share >= failingShare
	return o.failing != before
}

// mayProbe reports whether a failing upstream may get a new flow now. Urgent
// requests are no probes: they may change something, and their callers may not
// repeat them.
func (o *outcomes) mayProbe(now time.Duration, urgent bool) bool { return !urgent && now >= o.next }

// probe notes that a probe begins; its outcome allows the next one.
func (o *outcomes) probe(now time.Duration) { o.next = now + probeInterval }

// judge takes a packet of the upstream, which may end a request. The end of a flow
// may overtake the data of its answer.
func (c *Core) judge(now time.Duration, k flow.Key, p *flow.Packet) {
	e := c.table.Get(k)
	if e == nil || !e.Requested() || !p.Rst && !p.Fin && p.Size == 0 {
		return
	}
	free := c.table.Busy(now) <= c.upstream.concurrency()
	c.outcome(now, p.Rst || c.speed.unusual(e.Took(now), free, c.outcomes.failing))
}

// outcome takes the end of a request at the upstream.
func (c *Core) outcome(now time.Duration, failed bool) {
	if failed {
		c.Counts.Broken++
	}
	if !c.outcomes.add(now, failed) {
		return
	}
	c.logVerdict()
}

// forgive ends the verdict on an upstream that has started anew.
func (c *Core) forgive() {
	failing := c.outcomes.failing
	c.outcomes, c.speed = outcomes{}, speed{}
	if failing {
		c.logVerdict()
	}
}

func (c *Core) logVerdict() {
	l := c.Log.WithFields(logrus.Fields{"upstream": c.upstream.last.ID, "share": c.outcomes.share})
	if c.outcomes.failing {
		l.WithField("event", "upstreamFailing").Warn("upstream breaks off requests, answers them at once or is slow")
	} else {
		l.WithField("event", "upstreamRecovered").Info("upstream serves its requests again")
	}
}
