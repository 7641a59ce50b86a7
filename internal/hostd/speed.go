package hostd

import "time"

const (
	// quickShare is the part of the usual time of an answer below which it is quick.
	// Work times vary by half of their mean, so one in a hundred thousand is.
	quickShare = 0.1
	// quickNormal is the share of quick answers from which on they are usual: some
	// upstreams answer part of their requests from a cache.
	quickNormal = 0.1
	// slowFactor is how many times the usual time a slow answer takes. One in a
	// thousand healthy ones does.
	slowFactor = 4
	// minSlow is the least time of a slow answer. A packet that is lost on the way
	// to the upstream comes again after 200 ms, which says nothing about it.
	minSlow = 150 * time.Millisecond
	// speedSamples is the number of answers that the averages reach back.
	speedSamples = 256
	// speedHistory is the number of answers before any counts as unusual.
	speedHistory = 64
)

// speed judges answers by the time that they take. An upstream that sheds load or
// fails answers at once, and one that has become slow has few requests for the
// little that it gets done: both look like the least loaded one and draw new
// flows. Bodies belong to the two ends, so an agent cannot read what it answers.
type speed struct {
	// usual is a moving average of the time of answers that are not unusual.
	usual time.Duration
	// quick is a moving average of the share of quick answers.
	quick float64
	// seen is the number of answers so far.
	seen int
}

// unusual takes the time of an answer and reports whether the request has probably
// failed or met a slow upstream. Slow answers count only if slots were free, since a
// queue explains them else. While the upstream counts as failing, what it does then
// does not become usual.
func (s *speed) unusual(took time.Duration, free, failing bool) bool {
	known := s.seen >= speedHistory
	s.seen++
	if known && float64(took) < quickShare*float64(s.usual) {
		if !failing {
			s.quick += (1 - s.quick) / speedSamples
		}
		return s.quick < quickNormal
	}
	s.quick -= s.quick / speedSamples
	slow := known && free && took > max(slowFactor*s.usual, minSlow)
	if !slow || !failing {
		s.usual += (took - s.usual) / time.Duration(min(s.seen, speedSamples))
	}
	return slow
}
