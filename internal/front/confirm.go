package front

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// confirmers is the number of other balancers that are asked before a flow is reset.
const confirmers = 3

// hashOf returns a hash of the agents' addresses that does not depend on their order.
func hashOf(agents map[netip.AddrPort]*agentState) (h uint64) {
	for a := range agents {
		b := a.Addr().As4()
		h ^= xxhash.Sum64(binary.BigEndian.AppendUint16(b[:], a.Port()))
	}
	return h
}

// confirm asks other balancers whether they know the same agents, all of which have denied the
// flow. One that this balancer has not heard of, because its entry was lost on the way or is
// missing in the list that was read at the start, may hold the flow.
func (c *Core) confirm(now time.Duration, o *search) {
	peers := c.Peers()
	c.self.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	peers = peers[:min(len(peers), confirmers)]
	o.awaited, o.agreed, o.disagreed = len(peers), false, false
	c.searches.enter(o, confirming, now+searchTimeout)
	payload := append(binary.BigEndian.AppendUint64(nil, c.agents.known), o.key[:]...)
	for _, a := range peers {
		c.send(&frame.Frame{Kind: frame.Confirm, Balancer: c.self.Peer, Payload: payload}, a)
	}
}

// parseConfirm returns the hash and the key in a Confirm or Confirmed; ok is false if it is
// malformed.
func parseConfirm(f *frame.Frame) (hash uint64, k flow.Key, ok bool) {
	if len(f.Payload) != 8+len(k) {
		return 0, k, false
	}
	return binary.BigEndian.Uint64(f.Payload), flow.Key(f.Payload[8:]), true
}

// handleConfirm answers another balancer, unless this one may not know all agents. If the two
// know different ones, they compare their views.
func (c *Core) handleConfirm(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	hash, k, ok := parseConfirm(f)
	if !ok {
		c.Counts.Foreign++
		return
	}
	if !c.allKnown(now) {
		return
	}
	c.send(&frame.Frame{
		Kind: frame.Confirmed, Balancer: c.self.Peer, Payload: append(binary.BigEndian.AppendUint64(nil, c.agents.known), k[:]...),
	}, from)
	if hash != c.agents.known {
		c.sendDigest(now, from, false)
	}
}

// handleConfirmed records the answer of another balancer, and resets the flow once all have
// answered and know the same agents.
func (c *Core) handleConfirmed(now time.Duration, f *frame.Frame) {
	hash, k, ok := parseConfirm(f)
	if !ok {
		c.Counts.Foreign++
		return
	}
	o := c.searches.byKey[k]
	if o == nil || o.stage != confirming {
		return
	}
	o.agreed = o.agreed || hash == c.agents.known
	o.disagreed = o.disagreed || hash != c.agents.known
	if o.awaited--; o.awaited == 0 {
		c.endConfirm(now, o)
	}
}

// endConfirm resets the flow if those balancers that have answered know the same agents.
// Otherwise the agents are asked again after a pause, also those that this balancer hears of
// meanwhile. An answer that comes much later is of no use, as in decideLost.
func (c *Core) endConfirm(now time.Duration, o *search) {
	age, agreed := now-o.began, o.agreed && !o.disagreed
	switch {
	case agreed && age < searchLifetime+searchTimeout:
		c.endLost(now, o, true)
	case agreed, age >= searchLifetime:
		c.endLost(now, o, false)
	default:
		c.Counts.Unconfirmed++
		c.searches.enter(o, pausing, now+searchRetryDelay)
	}
}
