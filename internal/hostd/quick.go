package hostd

import "time"

const (
	// quickShare is the part of the usual time of an answer below which it is quick.
	// Work times vary by half of their mean, so one in a hundred thousand is.
	quickShare = 0.1
	// quickNormal is the share of quick answers from which on they are usual: some
	// upstreams answer part of their requests from a cache.
	quickNormal = 0.1
	// quickSamples is the number of answers that both reach back.
	quickSamples = 256
	// quickHistory is the number of answers before any counts as unusual.
	quickHistory = 64
)

// quick judges answers by the time that they take. An upstream that sheds load or
// fails answers at once, looks like the least loaded one for that, and draws new
// flows. Bodies belong to the two ends, so an agent cannot read what it answers.
type quick struct {
	// usual is a moving average of the time of answers that are not quick.
	usual time.Duration
	// share is a moving average of the quick answers among all.
	share float64
	// seen is the number of answers so far.
	seen int
}

// unusual takes the time of an answer and reports whether it is so much shorter
// than usual that the request has probably failed. While the upstream counts as
// failing, its quick answers do not become usual.
func (q *quick) unusual(took time.Duration, failing bool) bool {
	fast := q.seen >= quickHistory && float64(took) < quickShare*float64(q.usual)
	q.seen++
	switch {
	case !fast:
		q.usual += (took - q.usual) / time.Duration(min(q.seen, quickSamples))
		q.share -= q.share / quickSamples
	case !failing:
		q.share += (1 - q.share) / quickSamples
	}
	return fast && q.share < quickNormal
}
