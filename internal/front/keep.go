package front

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// keepTime is how long the list of an agent that has stopped is kept for its next run.
	keepTime = 10 * time.Second
	// maxKeptParts bounds the memory for lists; a part takes up to 1,100 bytes.
	maxKeptParts = 2048
	// handBacks is how often a list is sent to the next run.
	handBacks = 2
)

// keptList is the list of the flows of an agent that stops.
type keptList struct {
	instance ident.Instance
	version  uint16
	service  frame.ServiceID
	at       time.Duration
	parts    map[uint8][]byte
	// sent is how often it was handed to the next run of the agent.
	sent int
}

// kept holds the lists of agents that stop, by their address.
type kept struct {
	lists map[netip.AddrPort]*keptList
	parts int
}

func (k *kept) drop(hop netip.AddrPort) {
	if l := k.lists[hop]; l != nil {
		k.parts -= len(l.parts)
		delete(k.lists, hop)
	}
}

// handleFlows keeps a part of the list of flows of an agent that stops. The agent is known to hold
// them, so their packets wait for its next run and are tried at no other one.
func (c *Core) handleFlows(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	l, ok := f.FlowList()
	if !ok || c.agents.byAddr[from] == nil {
		c.Counts.Foreign++
		return
	}
	k := c.kept.lists[from]
	if k != nil && (k.instance != l.Instance || k.version < l.Version) {
		c.kept.drop(from)
		k = nil
	}
	switch {
	case k != nil && k.version > l.Version, c.kept.parts >= maxKeptParts:
		return
	case k == nil:
		k = &keptList{instance: l.Instance, version: l.Version, service: f.Service, parts: map[uint8][]byte{}}
		c.kept.lists[from] = k
	}
	if k.parts[l.Part] == nil {
		c.kept.parts++
	}
	k.at, k.parts[l.Part] = now, append([]byte(nil), f.Payload...)
	for _, key := range l.Keys {
		if h, known := c.hints.Get(now, key); known && h.Confirmed {
			continue
		}
		c.hints.Put(now, key, flow.Hint{Agent: from, Service: uint32(f.Service), Confirmed: true})
		c.trials.forget(key)
	}
}

// handBack sends the kept list of an agent to the next run of it.
func (c *Core) handBack(now time.Duration, hop netip.AddrPort, run ident.Instance) {
	k := c.kept.lists[hop]
	if k == nil || run == 0 || run == k.instance || k.sent >= handBacks {
		return
	}
	k.sent++
	age := uint16(min((now-k.at)/time.Millisecond, keepTime/time.Millisecond))
	for _, n := range slices.Sorted(maps.Keys(k.parts)) {
		c.send(&frame.Frame{Kind: frame.Flows, Service: k.service, Balancer: c.self.Peer, AgeMillis: age, Payload: k.parts[n]}, hop)
	}
}

// expireKept hands lists back once more, since datagrams may be lost, and drops old ones.
func (c *Core) expireKept(now time.Duration) {
	if len(c.kept.lists) == 0 {
		return
	}
	for _, st := range c.agents.sorted() {
		hop := st.entry.Key.Hop
		if k := c.kept.lists[hop]; k != nil && k.sent > 0 {
			c.handBack(now, hop, st.entry.Key.Instance)
			if k.sent >= handBacks {
				c.kept.drop(hop)
			}
		}
	}
	for hop, k := range c.kept.lists {
		if now-k.at >= keepTime {
			c.kept.drop(hop)
		}
	}
}
