package health

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Usable reports whether new flows may be sent to an endpoint. The reported
// condition is the worst one that other balancers have observed.
func (c *Checker) Usable(now time.Duration, k view.Key, reported view.Condition) bool {
	t := c.targets[k]
	if t == nil {
		return reported == view.Clear
	}
	if t.condition() != view.Clear || reported == view.Refusing {
		return false
	}
	return reported == view.Clear || t.everHeard && now-t.lastHeard < evidenceTTL
}

// EvidenceEnd returns the time until which packets received from an endpoint
// override reports of other balancers that it is down. The time has passed if
// there is no such evidence.
func (c *Checker) EvidenceEnd(k view.Key) time.Duration {
	if t := c.targets[k]; t != nil && t.everHeard {
		return t.lastHeard + evidenceTTL
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

// Conditions returns the endpoints that this balancer found down or refusing.
func (c *Checker) Conditions() map[view.Key]view.Condition {
	cs := map[view.Key]view.Condition{}
	for k, t := range c.targets {
		if c := t.condition(); c != view.Clear {
			cs[k] = c
		}
	}
	return cs
}

// Pauses returns the number of detected pauses of the process.
func (c *Checker) Pauses() uint64 { return c.pauses }
