package front

import (
	"cmp"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// compareSuspects orders suspects for walks: a walk has agents of one service. Those whose
// upstream got the opening packet are visited first, and silent ones, which may be down, last.
func compareSuspects(a, b suspect) int {
	return cmp.Or(cmp.Compare(a.turn(), b.turn()), cmp.Compare(a.service, b.service))
}

func (u *suspect) turn() int {
	switch {
	case u.opening:
		return 0
	case u.silent:
		return 2
	default:
		return 1
	}
}

// visitSuspects sends the packet along agents that may hold the flow without knowing,
// so that they try it at their upstreams, or ends the round if there are none left.
// A walk never mixes services, because an agent treats flows of another service as
// foreign. Trials are allowed for the first agents of a walk. An agent whose upstream got the
// opening packet needs none: it knows what the caller must acknowledge.
func (c *Core) visitSuspects(now time.Duration, o *search) {
	o.allowed = c.trialsAllowed(now, o, len(o.suspects))
	if o.allowed == 0 {
		// An agent that did not answer a query may run a version that does not know
		// them, and say that it holds the flow when it gets the packet.
		o.suspects = slices.DeleteFunc(o.suspects, func(u suspect) bool { return !u.silent && !u.opening })
	}
	if len(o.suspects) == 0 {
		c.endScope(now, o)
		return
	}
	slices.SortStableFunc(o.suspects, compareSuspects)
	first := o.suspects[0]
	if first.opening {
		o.allowed = 0
	}
	w := frame.Frame{Kind: frame.Walk, Service: first.service, Balancer: c.self.Peer, Payload: o.packets[0]}
	o.asked, o.askedSilent = nil, first.silent
	n := 0
	for n < min(len(o.suspects), frame.MaxCandidates) && compareSuspects(o.suspects[n], first) == 0 {
		w.Candidates = append(w.Candidates, frame.Candidate{Addr: o.suspects[n].agent})
		o.asked = append(o.asked, o.suspects[n].agent)
		n++
	}
	o.suspects = o.suspects[n:]
	w.TrialsLeft = min(o.allowed, uint8(n))
	o.allowed = w.TrialsLeft
	c.Counts.Walked++
	c.searches.enter(o, walking, now+max(searchTimeout, time.Duration(n)*walkTimePerAgent))
	c.send(&w, o.asked[0])
}
