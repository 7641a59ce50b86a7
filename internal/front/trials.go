package front

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// trialInterval is the time that the bound on trials holds for: longer than
	// the two seconds in which three packets of an open flow at other upstreams
	// count as misdelivery.
	trialInterval = 2500 * time.Millisecond
	// maxTrials is how many agents without a table entry may pass a packet of one
	// flow to their upstreams in that time.
	maxTrials = 2
)

// trials bounds how many upstreams see packets of a flow that is not theirs.
type trials map[flow.Key]trial

type trial struct {
	count int
	// since is when the first of them was allowed.
	since time.Duration
}

// allow reports whether one more agent may try.
func (t trials) allow(now time.Duration, k flow.Key) bool {
	o := t[k]
	if now-o.since >= trialInterval {
		o = trial{since: now}
	}
	if o.count >= maxTrials {
		return false
	}
	o.count++
	t[k] = o
	return true
}

// refund takes back a trial that no agent made use of.
func (t trials) refund(k flow.Key) {
	if o := t[k]; o.count > 0 {
		o.count--
		t[k] = o
	}
}

// expire forgets what is over.
func (t trials) expire(now time.Duration) {
	for k, o := range t {
		if now-o.since >= trialInterval {
			delete(t, k)
		}
	}
}
