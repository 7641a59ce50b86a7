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
// ID is id. For Forward it rewrites h for the next agent. Packets with the
// same ID get the same decision for a while. A packet is forwarded at most
// h.Count times: NewFlow only to a higher position, Placed never.
func (g *Gate) Decide(now time.Time, id []byte, h *encap.Header) Action {
	g.expire(now)
	k := newFlowID(id)
	old, known := g.memory.get(now, k)
	takeBack := known && g.unanswered(now, old)
	if known && !takeBack && repeat(old, h) {
		return old.action
	}
	own := h.Position
	d := decision{action: Take}
	if !takeBack {
		d.action = g.decide(now, h)
	}
	if d.action == Forward {
		d.kind, d.target, d.depth = h.Kind, h.Candidates[h.Position].Endpoint, h.Candidates[own].Depth
	}
	if d.action == Take {
		g.opening = append(g.opening, now.Add(expectTime))
	}
	g.memory.put(now, k, d)
	return d.action
}

// answerTime is after what time a caller's repeated packet shows that the agent
// that a flow was handed to has not answered. The packets of one ClientHello
// come within milliseconds; RFC 9002 recommends a second before it is repeated.
const answerTime = 150 * time.Millisecond

// unanswered says whether the agent should take a flow that it handed on while
// it had a free slot, as the other agent may be frozen. If the answer was only
// lost, a handshake is wasted.
func (g *Gate) unanswered(now time.Time, d decision) bool {
	if d.action != Forward || d.depth >= encap.DepthUnit || now.Before(d.until.Add(answerTime-memoryTime)) {
		return false
	}
	return g.Depth(now) != encap.MaxDepth && g.load() < g.limits.Slots
}

func (g *Gate) decide(now time.Time, h *encap.Header) Action {
	depth := g.Depth(now)
	if h.Kind == encap.Placed {
		if depth == encap.MaxDepth {
			return Refuse
		}
		return Take
	}
	free := depth != encap.MaxDepth && g.load() < g.limits.Slots
	compared := anyFree(h)
	if free && (g.few() || h.Position > 0 && !compared) {
		return Take
	}
	if free {
		depth = g.rank(now)
	}
	h.Candidates[h.Position].Depth = depth
	if !compared && h.Position+1 < h.Count && (h.Position+1 < nearCandidates || deep(h)) {
		pass(h, encap.NewFlow, h.Position+1)
		return Forward
	}
	best := leastLoaded(h)
	switch {
	case h.Candidates[best].Depth == encap.MaxDepth:
		return Refuse
	case best == h.Position:
		return Take
	}
	pass(h, encap.Placed, best)
	return Forward
}

// few says whether the open flows are fewer than the share of the slots that
// the weight allows. Such an agent takes a flow without a comparison.
func (g *Gate) few() bool {
	return float64(g.flows()) < float64(g.limits.Slots)*g.limits.weight()
}

const (
	// nearCandidates is the number of candidates that a flow is offered to
	// before the least loaded of them gets it.
	nearCandidates = 3
	// deepDepth is the depth at which all of them count as deep, so that the
	// flow is offered to the remaining candidates too. The placement experiment
	// compares it with no wider step and with one at DepthUnit.
	deepDepth = encap.DepthUnit * 5 / 4
)

// anyFree says whether a candidate before the receiver has a free slot.
func anyFree(h *encap.Header) bool {
	for i := range h.Position {
		if h.Candidates[i].Depth < encap.DepthUnit {
			return true
		}
	}
	return false
}

// deep says whether every candidate so far is deep.
func deep(h *encap.Header) bool {
	for i := range h.Position + 1 {
		if h.Candidates[i].Depth < deepDepth {
			return false
		}
	}
	return true
}

// leastLoaded returns the position of the candidate with the lowest depth up to the receiver. At
// equal depths the receiver saves a hop.
func leastLoaded(h *encap.Header) uint8 {
	best := h.Position
	for i := range h.Position {
		if h.Candidates[i].Depth < h.Candidates[best].Depth {
			best = i
		}
	}
	return best
}

func pass(h *encap.Header, k encap.Kind, position uint8) {
	h.Kind = k
	h.Position = position
	h.Instance = h.Candidates[position].Endpoint.Instance
}

// repeat applies a remembered decision to another packet of the flow. It
// reports false when the decision does not fit the packet: a Placed packet
// must not be forwarded, and a target that is not a later candidate has been
// marked down or was chosen by a balancer with another view.
func repeat(d decision, h *encap.Header) bool {
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
		pass(h, d.kind, i)
		return true
	}
	return false
}
