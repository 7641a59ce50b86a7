package front

import (
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// maxStrayTrials is the number of packets of a flow that may be tried at upstreams
	// within trialWindow. Three packets at other upstreams within 2 s and none at its own
	// count as misdelivery.
	maxStrayTrials = 2
	// trialWindow is the time from the first trial of a flow in which further ones are
	// not limited: its own upstream gets the packet too.
	trialWindow = time.Second
	// maxTrials is how many agents may try a packet at their upstreams at once. Only agents
	// that started after their upstream do.
	maxTrials = 64
	// maxTrialFlows bounds the memory for flows that were tried.
	maxTrialFlows = 1 << 16
)

// trialCount is the number of trials of a flow and the time of the first one.
type trialCount struct {
	first time.Duration
	count int
}

// trials holds the packets of each flow whose agent is unknown that were passed to an
// upstream on trial.
type trials map[flow.Key]trialCount

// allow returns how many of the agents that are asked next may try the packet at their
// upstream, provided that they are all that may hold the flow. A single one may in any case: if
// an upstream holds the flow, it is this one.
func (t trials) allow(now time.Duration, k flow.Key, agents int) int {
	n, tried := t[k]
	switch {
	case !tried && len(t) >= maxTrialFlows:
		return 0
	case agents > 1 && tried && now-n.first >= trialWindow:
		return min(agents, max(0, maxStrayTrials-n.count))
	}
	return min(agents, maxTrials)
}

// record records trials of a flow.
func (t trials) record(now time.Duration, k flow.Key, count int) {
	n, tried := t[k]
	if !tried {
		n.first = now
	}
	n.count += count
	t[k] = n
}

// forget removes a flow whose agent is known.
func (t trials) forget(k flow.Key) { delete(t, k) }

// expire removes flows that have reached the end of their lifetime.
func (t trials) expire(now, lifetime time.Duration) {
	for k, n := range t {
		if now-n.first >= lifetime {
			delete(t, k)
		}
	}
}

// tryable returns the agents that may try the packet of a search at their upstreams next.
// Packets at other upstreams are harmless if its own gets them too, so these are all agents that
// may hold the flow, if none is missing. Otherwise it is only the likeliest one, once: other
// balancers may search for the flow, too.
func (c *Core) tryable(now time.Duration, o *search) []suspect {
	r := c.rules.Route(o.key.Route())
	if r == nil || o.scope != fullScope {
		return nil
	}
	us := slices.DeleteFunc(slices.Clone(o.suspects), func(u suspect) bool { return u.opening || u.silent })
	if c.noneMissing(now, o, r) {
		return us[:c.trials.allow(now, o.key, len(us))]
	}
	if c.trials[o.key].count > 0 || o.returned {
		return nil
	}
	for _, s := range r.Shares {
		if u, ok := c.likeliest(o, frame.ServiceIDOf(s.Service)); ok && slices.Contains(us, u) {
			return []suspect{u}
		}
	}
	return nil
}

// noneMissing reports whether all agents that may hold a flow have answered in this round.
func (c *Core) noneMissing(now time.Duration, o *search, r *rules.Route) bool {
	if len(o.unaware) > 0 || !c.allKnown(now) || c.absentAgents(now, r) > 0 {
		return false
	}
	for index := range c.agents.reachable.without(o.right.denied) {
		if !o.queried.has(index) {
			return false
		}
	}
	return true
}

// likeliest returns the first agent in the order of the flow that has not denied it.
func (c *Core) likeliest(o *search, s frame.ServiceID) (suspect, bool) {
	n := c.agents.group(s).known.Rank(o.key.Hash(), maxLocalCandidates, c.ids[:maxNearAgents])
	for _, e := range c.ids[:n] {
		if st := c.agents.byAddr[e.Addr]; st != nil && !o.right.denied.has(st.index) {
			return suspect{agent: e.Addr, service: s}, true
		}
	}
	return suspect{}, false
}
