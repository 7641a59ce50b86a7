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

// Hint holds the address of the agent that holds a flow, and the agent's service.
type Hint struct {
	Agent   netip.AddrPort
	Service uint32
}

type hint struct {
	Hint
	// expiresAt is when the hint expires.
	expiresAt time.Duration
}

// sweepInterval is the minimum time between two removals of expired hints by Sweep.
const sweepInterval = 2 * time.Second

// NewHints returns an empty cache of up to limit hints.
func NewHints(lifetime, endedLifetime time.Duration, limit int) *Hints {
	return &Hints{entries: map[Key]hint{}, lifetime: lifetime, endedLifetime: endedLifetime, limit: limit}
}

// Put stores the hint of a flow. It does nothing if the cache is full.
func (h *Hints) Put(now time.Duration, k Key, agent Hint) {
	if _, known := h.entries[k]; !known && len(h.entries) >= h.limit {
		h.sweep(now)
		if len(h.entries) >= h.limit {
			return
		}
	}
	h.entries[k] = hint{Hint: agent, expiresAt: now + h.lifetime}
}

// Get returns the hint of a flow. If ends is set, the caller has ended the flow, and the
// hint expires after endedLifetime.
func (h *Hints) Get(now time.Duration, k Key, ends bool) (Hint, bool) {
	e, ok := h.entries[k]
	if !ok || now >= e.expiresAt {
		return Hint{}, false
	}
	if ends {
		e.expiresAt = now + h.endedLifetime
		h.entries[k] = e
	}
	return e.Hint, true
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
