package flow

import (
	"net/netip"
	"time"
)

// Hints is a balancer's bounded cache of which agent holds a flow. The agent
// of a flow without a hint is found by asking the agents. A hint also lets the
// balancer reset the flow if its agent is down, and marks the flow's packets as
// hinted, so that the agent may try them at its upstream after a restart.
type Hints struct {
	entries map[Key]hint
	// lifetime is the time without an update after which a hint expires.
	// endedLifetime replaces it once the caller has ended the flow.
	lifetime, endedLifetime time.Duration
	limit                   int
	// sweptAt is when expired hints were last removed.
	sweptAt time.Duration
}

// Hint holds the address of the agent that holds a flow, and the agent's service. It is a
// claim until it is confirmed: several agents may have passed the opening packet to their
// upstreams, and the flow is open at one of them.
type Hint struct {
	Agent   netip.AddrPort
	Service uint32
	// First is the first sequence number of the agent's upstream; valid if Answered.
	First    uint32
	Answered bool
	// Confirmed is set if the caller has acknowledged the answer of the agent's upstream,
	// or the agent has said that the flow is open there.
	Confirmed bool
}

// AcknowledgedBy reports whether a packet shows that the flow is open at the agent: it is one
// of the first and acknowledges the answer of the agent's upstream.
func (h *Hint) AcknowledgedBy(p *Packet) bool {
	return h.Answered && p.Acked-h.First <= maxFirstAcked
}

type hint struct {
	Hint
	// carried is set once a packet of the open flow was passed to the agent.
	carried bool
	// expiresAt is when the hint expires.
	expiresAt time.Duration
}

// sweepInterval is the minimum time between two removals of expired hints by Sweep.
const sweepInterval = 2 * time.Second

// NewHints returns an empty cache of up to limit hints.
func NewHints(lifetime, endedLifetime time.Duration, limit int) *Hints {
	return &Hints{entries: map[Key]hint{}, lifetime: lifetime, endedLifetime: endedLifetime, limit: limit}
}

// Put stores the hint of a flow. It does nothing if the cache is full, or if the hint is a
// claim and the agent of another one has got packets of the open flow: that agent denies
// the flow if it does not hold it.
func (h *Hints) Put(now time.Duration, k Key, to Hint) {
	e, known := h.entries[k]
	carried := false
	switch {
	case !known || now >= e.expiresAt:
	case e.Agent != to.Agent:
		if !to.Confirmed && (e.Confirmed || e.carried) {
			return
		}
		// If both say that they hold the open flow, one of them means an earlier one.
		to.Confirmed = to.Confirmed && !e.Confirmed
	case e.Answered && to.Answered && e.First == to.First:
		carried, to.Confirmed = e.carried, to.Confirmed || e.Confirmed
	}
	if !known && len(h.entries) >= h.limit {
		h.sweep(now)
		if len(h.entries) >= h.limit {
			return
		}
	}
	h.entries[k] = hint{Hint: to, carried: carried, expiresAt: now + h.lifetime}
}

// Get returns the hint of a flow.
func (h *Hints) Get(now time.Duration, k Key) (Hint, bool) {
	e, ok := h.entries[k]
	if !ok || now >= e.expiresAt {
		return Hint{}, false
	}
	return e.Hint, true
}

// Carry returns the hint for a packet of the open flow, which confirms the hint if it
// acknowledges the answer of the agent's upstream. Once the caller has ended the flow, the
// hint expires after endedLifetime.
func (h *Hints) Carry(now time.Duration, k Key, p *Packet) (Hint, bool) {
	e, ok := h.entries[k]
	if !ok || now >= e.expiresAt {
		return Hint{}, false
	}
	was := e
	e.carried = true
	if e.Answered {
		e.Confirmed = e.AcknowledgedBy(p) || e.Confirmed && p.Acked-e.First <= maxFlowBytes
	}
	if p.Fin || p.Rst {
		e.expiresAt = now + h.endedLifetime
	}
	if e != was {
		h.entries[k] = e
	}
	return e.Hint, true
}

// Reopen makes the hint of a flow a claim that any other one replaces, because the caller
// may be opening another flow from the same address.
func (h *Hints) Reopen(k Key) {
	if e, ok := h.entries[k]; ok {
		e.Confirmed, e.carried = false, false
		h.entries[k] = e
	}
}

// Drop removes the hint of a flow if it names the given agent.
func (h *Hints) Drop(k Key, agent netip.AddrPort) {
	if e, ok := h.entries[k]; ok && e.Agent == agent {
		delete(h.entries, k)
	}
}

// Len returns the number of hints.
func (h *Hints) Len() int { return len(h.entries) }

// Sweep removes expired hints if sweepInterval has passed since the last time.
func (h *Hints) Sweep(now time.Duration) {
	if now-h.sweptAt >= sweepInterval {
		h.sweep(now)
	}
}

func (h *Hints) sweep(now time.Duration) {
	h.sweptAt = now
	for k, e := range h.entries {
		if now >= e.expiresAt {
			delete(h.entries, k)
		}
	}
}
