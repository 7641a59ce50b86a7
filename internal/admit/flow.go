package admit

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// Action says what an agent does with a packet that starts a flow.
type Action uint8

// Actions for packets that start a flow.
const (
	// Take hands the packet to the agent's own QUIC server.
	Take Action = iota + 1
	// Forward sends the packet to h.Candidates[h.Position].
	Forward
	// Refuse tells the caller that the flow is refused.
	Refuse
)

// String returns the action as a metric and log value.
func (a Action) String() string {
	switch a {
	case Take:
		return "take"
	case Forward:
		return "forward"
	case Refuse:
		return "refuse"
	}
	return "none"
}

// Decide decides on a NewFlow or Placed packet whose client-chosen connection
// ID is id. For Forward it rewrites h for the next agent. Packets with the same
// ID get the same decision while it is cached and fits them, unless the agent
// reclaims the flow. A packet is forwarded at most h.Count times: as a NewFlow
// packet only to a higher position, as a Placed packet to any position, from
// which it is not forwarded again.
func (g *Gate) Decide(now time.Time, id []byte, h *encap.Header) Action {
	g.expireFlows(now)
	k := newFlowID(id)
	old, known := g.decisions.get(now, k)
	reclaim := known && g.shouldReclaim(now, old)
	if known && !reclaim && reapply(old, h) {
		return old.action
	}
	own := h.Position
	d := decision{action: Take}
	if !reclaim {
		d.action = g.place(now, h)
	}
	if d.action == Forward {
		d.kind, d.target, d.depth = h.Kind, h.Candidates[h.Position].Endpoint, h.Candidates[own].Depth
	}
	if d.action == Take {
		g.opening = append(g.opening, now.Add(firstRequestTimeout))
	}
	if d.action != Refuse || !g.draining {
		// A draining agent may serve again before the caller repeats its packet.
		g.decisions.put(now, k, d)
	}
	return d.action
}

// answerTimeout is the time after which a repeated packet of the caller shows
// that the agent that got the flow has not answered. The packets of one
// ClientHello arrive within milliseconds; RFC 9002 recommends to repeat it
// after a second.
const answerTimeout = 150 * time.Millisecond

// shouldReclaim reports whether the agent should take a flow that it forwarded
// although it had a free slot, because the other agent may hang. If only the
// answer was lost, this wastes a handshake.
func (g *Gate) shouldReclaim(now time.Time, d decision) bool {
	if d.action != Forward || d.depth >= encap.DepthUnit || now.Before(d.expires.Add(answerTimeout-decisionLifetime)) {
		return false
	}
	return g.Depth(now) != encap.MaxDepth && g.load() < g.limits.Slots
}

// place decides on a packet for which no cached decision applies. An agent with
// a free slot takes the flow if it has few flows or is the first with a free
// slot after agents without one. Otherwise the flow is offered to the next
// candidate, and the least loaded of those asked gets it.
func (g *Gate) place(now time.Time, h *encap.Header) Action {
	depth := g.Depth(now)
	if h.Kind == encap.Placed {
		if depth == encap.MaxDepth {
			return Refuse
		}
		return Take
	}
	free := depth != encap.MaxDepth && g.load() < g.limits.Slots
	compared := anyFreeSlot(h)
	if free && (g.belowShare() || h.Position > 0 && !compared) {
		return Take
	}
	if free {
		depth = g.rank(now)
	}
	h.Candidates[h.Position].Depth = depth
	if !compared && h.Position+1 < h.Count && (h.Position+1 < nearCandidates || allOverloaded(h)) {
		redirect(h, encap.NewFlow, h.Position+1)
		return Forward
	}
	best := leastLoaded(h)
	switch {
	case h.Candidates[best].Depth == encap.MaxDepth:
		return Refuse
	case best == h.Position:
		return Take
	}
	redirect(h, encap.Placed, best)
	return Forward
}

// belowShare reports whether the agent has fewer open flows than its slots
// times its weight. Such an agent takes a flow without comparing itself with
// others.
func (g *Gate) belowShare() bool {
	return float64(g.flowCount()) < float64(g.limits.Slots)*g.limits.weight()
}

const (
	// nearCandidates is the number of candidates that are asked before the
	// least loaded of them gets the flow.
	nearCandidates = 3
	// overloadDepth is the depth from which on an agent counts as overloaded.
	// If all agents asked are, the flow is offered to the remaining candidates
	// too. The alternatives to this depth are DepthUnit and never asking the
	// remaining candidates.
	overloadDepth = encap.DepthUnit * 5 / 4
)

// anyFreeSlot reports whether a candidate before the receiver has a free slot.
func anyFreeSlot(h *encap.Header) bool {
	for i := range h.Position {
		if h.Candidates[i].Depth < encap.DepthUnit {
			return true
		}
	}
	return false
}

// allOverloaded reports whether every candidate up to the receiver is
// overloaded.
func allOverloaded(h *encap.Header) bool {
	for i := range h.Position + 1 {
		if h.Candidates[i].Depth < overloadDepth {
			return false
		}
	}
	return true
}

// leastLoaded returns the position of the candidate with the lowest depth up to
// the receiver. At equal depths the receiver is chosen, which saves a hop.
func leastLoaded(h *encap.Header) uint8 {
	best := h.Position
	for i := range h.Position {
		if h.Candidates[i].Depth < h.Candidates[best].Depth {
			best = i
		}
	}
	return best
}

// redirect addresses the header to the candidate at a position.
func redirect(h *encap.Header, k encap.Kind, position uint8) {
	h.Kind = k
	h.Position = position
	h.Instance = h.Candidates[position].Endpoint.Instance
}

// reapply applies an earlier decision to another packet of the flow. It returns
// false if the decision does not fit the packet: a Placed packet must not be
// forwarded, and a target that is not a later candidate was marked down or
// chosen by a balancer with another view.
func reapply(d decision, h *encap.Header) bool {
	if d.action == Take {
		return true
	}
	if h.Kind == encap.Placed {
		return false
	}
	if d.action == Refuse {
		return true
	}
	for i := range h.Count {
		if h.Candidates[i].Endpoint != d.target || i == h.Position {
			continue
		}
		if d.kind == encap.NewFlow && i < h.Position {
			return false
		}
		h.Candidates[h.Position].Depth = d.depth
		redirect(h, d.kind, i)
		return true
	}
	return false
}
