package flow

import (
	"net/netip"
	"time"
)

// Hints is a balancer's bounded memory of which agent holds a flow. Nothing
// depends on it: a flow without a hint is found by asking the agents.
type Hints struct {
	entries map[Key]hint
	// lifetime is after what time without a packet a hint is dropped, linger
	// the same after the caller's end of the flow was seen.
	lifetime, linger time.Duration
	limit            int
	// swept is when Sweep last looked at every entry.
	swept time.Duration
}

// Hint names the agent that holds a flow, and the agent's service.
type Hint struct {
	Agent   netip.AddrPort
	Service uint32
}

type hint struct {
	Hint
	// until is when the hint expires.
	until time.Duration
}

const sweepInterval = 2 * time.Second

// NewHints returns an empty memory of up to limit flows.
func NewHints(lifetime, linger time.Duration, limit int) *Hints {
	return &Hints{entries: map[Key]hint{}, lifetime: lifetime, linger: linger, limit: limit}
}

// Put remembers the agent of a flow.
func (h *Hints) Put(now time.Duration, k Key, agent Hint) {
	if _, known := h.entries[k]; !known && len(h.entries) >= h.limit {
		h.sweep(now)
		if len(h.entries) >= h.limit {
			return
		}
	}
	h.entries[k] = hint{Hint: agent, until: now + h.lifetime}
}

// Get returns the agent of a flow. The end of the flow shortens the hint.
func (h *Hints) Get(now time.Duration, k Key, ends bool) (Hint, bool) {
	e, ok := h.entries[k]
	if !ok || now >= e.until {
		return Hint{}, false
	}
	if ends {
		e.until = now + h.linger
		h.entries[k] = e
	}
	return e.Hint, true
}

// Drop forgets a flow if its hint names the given agent.
func (h *Hints) Drop(k Key, agent netip.AddrPort) {
	if e, ok := h.entries[k]; ok && e.Agent == agent {
		delete(h.entries, k)
	}
}

// Len returns the number of hints.
func (h *Hints) Len() int { return len(h.entries) }

// Sweep removes expired hints from time to time.
func (h *Hints) Sweep(now time.Duration) {
	if now-h.swept >= sweepInterval {
		h.sweep(now)
	}
}

func (h *Hints) sweep(now time.Duration) {
	h.swept = now
	for k, e := range h.entries {
		if now >= e.until {
			delete(h.entries, k)
		}
	}
}
