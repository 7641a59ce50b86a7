package hostd

import "time"

const (
	// quickFactor is the fraction of the typical response time below which an answer
	// is quick. Work times vary by half of their mean, so only one healthy answer in
	// 100,000 is.
	quickFactor = 0.1
	// normalQuickShare is the share of quick answers from which they count as
	// normal: some upstreams answer part of their requests from a cache.
	normalQuickShare = 0.1
	// slowFactor is the multiple of the typical response time above which an answer
	// is slow. One in 1,000 healthy answers is.
	slowFactor = 4
	// minSlow is the minimum response time of a slow answer. It does not
	// exclude packet loss: a packet lost on the way to the upstream is retransmitted
	// after 200 ms, which is longer but says nothing about the upstream.
	minSlow = 150 * time.Millisecond
	// latencySamples is the number of answers that the moving averages cover.
	latencySamples = 256
	// latencyHistory is the number of answers needed before any counts as unusual.
	latencyHistory = 64
)

// latency detects failures by the response time. An upstream that fails or sheds load
// answers at once, and a slow one gets few requests and has few in progress. Both
// look like the least loaded upstream and would attract new flows. An agent cannot
// read the status of an answer, because bodies are for the two ends only.
type latency struct {
	// typical is a moving average of the response times that are neither quick nor,
	// while the upstream is failing, slow.
	typical time.Duration
	// quickShare is a moving average of the share of quick answers, 0 to 1.
	quickShare float64
	// samples is the number of answers so far.
	samples int
}

// unusual records a response time and reports whether the request has probably failed
// or the upstream is slow. Slow answers count only if slots were free, since otherwise
// they may have waited in the upstream's queue. While the upstream is failing, quick
// answers do not raise quickShare and slow ones do not change typical, so that a
// failure does not become the norm.
func (l *latency) unusual(took time.Duration, free, failing bool) bool {
	enough := l.samples >= latencyHistory
	l.samples++
	if enough && float64(took) < quickFactor*float64(l.typical) {
		if !failing {
			l.quickShare += (1 - l.quickShare) / latencySamples
		}
		return l.quickShare < normalQuickShare
	}
	l.quickShare -= l.quickShare / latencySamples
	slow := enough && free && took > max(slowFactor*l.typical, minSlow)
	if !slow || !failing {
		l.typical += (took - l.typical) / time.Duration(min(l.samples, latencySamples))
	}
	return slow
}
