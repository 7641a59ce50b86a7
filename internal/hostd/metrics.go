package hostd

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/node"
)

// collect sets the metrics to the present values.
func (a *Agent) collect(m *node.Metrics) {
	var c Counts
	a.loop.Do(func(now time.Duration) {
		c = a.core.Counts
		l := a.core.Load(now)
		m.Counter("sendFailures", "Datagrams that could not be sent.", a.hop.Failed+a.outbound.Failed)
		m.Gauge("flows", "Flows in the table.", float64(a.core.table.Len()))
		m.Gauge("busy", "Requests in progress and flows that are being opened.", float64(l.Busy))
		m.Gauge("waiting", "Opening packets that wait.", float64(a.core.waiting.Len()))
		m.Gauge("slots", "Number of requests that the upstream is taken to process at once.", l.Slots)
		m.Gauge("brokenShare", "Share of the requests that the upstream breaks off or answers in an unusual time.", a.core.outcomes.failureShare)
		m.Gauge("depth", "Announced load; see frame.Depth.", float64(l.Depth()))
		m.Gauge("learnedRoom", "Number of requests that the upstream takes well at once; without measurement its slots.", float64(a.core.room(now)))
		m.Gauge("measuredWorkSeconds", "Measured time in which the upstream answers a request that does not wait; 0 if unknown.", a.core.learning.gauge.Work().Seconds())
		m.Gauge("workSeconds", "Mean time of a request.", a.core.table.Work().Seconds())
		m.Gauge("evacuated", "1 if the agent's place is evacuated, else 0.", boolGauge(a.core.evacuated()))
		m.Gauge("balancersKnown", "Balancers that the agent knows.", float64(len(a.core.registration.balancers)))
		m.Gauge("reportAgeSeconds", "Time since the last report of the upstream.", (now - a.core.upstream.reportAt).Seconds())
	})
	m.Counters(c)
	m.Refusals("reports", "Reports and deregistrations", &a.Refused)
	m.Shared(a.store, a.out)
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
