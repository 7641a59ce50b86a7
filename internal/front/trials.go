package front

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// trialWindow is the time from the first trial of a flow in which its packets may
	// be tried at upstreams that may hold it. If the upstream that holds the flow gets
	// no packet for 2 s, three packets at other upstreams count as misdelivery, so the
	// search ends well before.
	trialWindow = time.Second
	// maxWalkTrials is how many agents of a walk may try a packet at their upstream.
	// Only agents that started after their upstream try, and each trial takes 1 to
	// 2 ms, so all agents of a walk may.
	maxWalkTrials = frame.MaxCandidates
	// maxTrialFlows bounds the memory for flows that were tried.
	maxTrialFlows = 1 << 16
)

// trials holds, for each flow whose agent is unknown, when one of its packets was
// first passed to an upstream on trial.
type trials map[flow.Key]time.Duration

// allow returns how many of the agents that are asked next may try the packet at
// their upstream.
func (t trials) allow(now time.Duration, k flow.Key, agents int) uint8 {
	if first, tried := t[k]; tried && now-first >= trialWindow || !tried && len(t) >= maxTrialFlows {
		return 0
	}
	return uint8(min(agents, maxWalkTrials))
}

// record records that a packet of the flow was tried; the first time counts.
func (t trials) record(now time.Duration, k flow.Key) {
	if _, tried := t[k]; !tried {
		t[k] = now
	}
}

// forget removes a flow whose agent is known.
func (t trials) forget(k flow.Key) { delete(t, k) }

// expire removes flows that have reached the end of their lifetime.
func (t trials) expire(now, lifetime time.Duration) {
	for k, first := range t {
		if now-first >= lifetime {
			delete(t, k)
		}
	}
}
