package front

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// trialTime is for how long after its first trial a flow is tried at upstreams
	// that may hold it. Three packets at other upstreams count as misdelivery if
	// the holder gets none for two seconds, so the search ends well before.
	trialTime = time.Second
	// walkTrials is how many agents of a walk may try: all that have started beside
	// a running upstream, since each trial takes a millisecond or two.
	walkTrials = frame.MaxCandidates
	// maxTried bounds the memory of flows that were tried.
	maxTried = 1 << 16
)

// trials holds when flows whose holder is unknown were first tried at an
// upstream, until the holder is found.
type trials map[flow.Key]time.Duration

// allow returns how many of the agents that are asked next may try.
func (t trials) allow(now time.Duration, k flow.Key, agents int) uint8 {
	if first, tried := t[k]; tried && now-first >= trialTime || !tried && len(t) >= maxTried {
		return 0
	}
	return uint8(min(agents, walkTrials))
}

// used notes that an agent has tried.
func (t trials) used(now time.Duration, k flow.Key) {
	if _, tried := t[k]; !tried {
		t[k] = now
	}
}

// found forgets a flow whose holder is known.
func (t trials) found(k flow.Key) { delete(t, k) }

// expire forgets flows that have reached the end of their lifetime.
func (t trials) expire(now, lifetime time.Duration) {
	for k, first := range t {
		if now-first >= lifetime {
			delete(t, k)
		}
	}
}
