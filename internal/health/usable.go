package health

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Usable decides whether an endpoint takes new flows; marked is what other
// balancers found out about it.
func (h *Health) Usable(now time.Duration, k view.Key, marked view.Condition) bool {
	t := h.targets[k]
	if t == nil {
		return marked == view.Clear
	}
	if t.condition() != view.Clear || marked == view.Refusing {
		return false
	}
	return marked == view.Clear || t.everHeard && now-t.heard < evidenceTime
}

// EvidenceEnd returns until when own evidence of life overrides marks that an
// endpoint is down; it is not after now if there is none.
func (h *Health) EvidenceEnd(k view.Key) time.Duration {
	if t := h.targets[k]; t != nil && t.everHeard {
		return t.heard + evidenceTime
	}
	return 0
}

func (t *target) condition() view.Condition {
	switch {
	case t.down:
		return view.Down
	case t.refusing:
		return view.Refusing
	}
	return view.Clear
}

// Conditions returns the endpoints that this balancer found to be unusable.
func (h *Health) Conditions() map[view.Key]view.Condition {
	cs := map[view.Key]view.Condition{}
	for k, t := range h.targets {
		if c := t.condition(); c != view.Clear {
			cs[k] = c
		}
	}
	return cs
}

// Pauses returns how often the process was paused.
func (h *Health) Pauses() uint64 { return h.pauses }
