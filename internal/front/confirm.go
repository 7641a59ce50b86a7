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

// hashOf returns a hash of the runs of the agents that does not depend on their order.
func hashOf(agents map[netip.AddrPort]*agentState) (h rosterHash) {
	for a, st := range agents {
		b := a.Addr().As4()
		key := binary.BigEndian.AppendUint16(b[:], a.Port())
		h ^= rosterHash(xxhash.Sum64(binary.BigEndian.AppendUint32(key, uint32(st.entry.Key.Instance))))
	}
	return h
}

// confirm asks other balancers whether they know the same agents, all of which have denied the
// flow. One that this balancer has not heard of, because its entry was lost on the way or is
// missing in the list that was read at the start, may hold the flow.
func (c *Core) confirm(now time.Duration, o *search) {
	peers := c.Peers()
	c.self.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	asked := peers[:min(len(peers), confirmers)]
	o.right.ask(c.agents.known, asked)
	c.searches.enter(o, confirming, now+searchTimeout)
	for _, a := range asked {
		c.send(&frame.Frame{Kind: frame.Confirm, Balancer: c.self.Peer, Payload: confirmPayload(o.right.question, o.key)}, a)
	}
}

func confirmPayload(known rosterHash, k flow.Key) []byte {
	return append(binary.BigEndian.AppendUint64(nil, uint64(known)), k[:]...)
}

// parseConfirm returns the hash and the key in a Confirm or Confirmed; ok is false if it is
// malformed.
func parseConfirm(f *frame.Frame) (hash rosterHash, k flow.Key, ok bool) {
	if len(f.Payload) != 8+len(k) {
		return 0, k, false
	}
	return rosterHash(binary.BigEndian.Uint64(f.Payload)), flow.Key(f.Payload[8:]), true
}

// handleConfirm answers another balancer with the agents that this one knows, or none if it may
// not know all of them. If the two know different ones, they compare their views.
func (c *Core) handleConfirm(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	hash, k, ok := parseConfirm(f)
	if !ok {
		c.Counts.Foreign++
		return
	}
	known := c.agents.known
	if !c.allKnown(now) {
		known = 0
	}
	c.send(&frame.Frame{Kind: frame.Confirmed, Balancer: c.self.Peer, Payload: confirmPayload(known, k)}, from)
	if hash != c.agents.known {
		c.sendDigest(now, from, false)
	}
}

// handleConfirmed records the answer of another balancer. After the last one, the search is
// decided.
func (c *Core) handleConfirmed(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	hash, k, ok := parseConfirm(f)
	if !ok {
		c.Counts.Foreign++
		return
	}
	o := c.searches.byKey[k]
	if o == nil || o.stage != confirming {
		return
	}
	if o.right.note(from, hash) && len(o.right.awaited) == 0 {
		c.endConfirm(now, o)
	}
}

// endConfirm resets the flow if nothing is lacking now, although time has passed since the agents
// and the balancers were asked. Otherwise the agents are asked again after a pause, also those
// that this balancer hears of meanwhile.
func (c *Core) endConfirm(now time.Duration, o *search) {
	r := c.rules.Route(o.key.Route())
	if r == nil {
		c.endLost(now, o, &resetGround{})
		return
	}
	g := c.resetGround(now, o.began, r)
	if o.right.lack(g, c.resetGuards) == "" || g.age >= searchLifetime {
		c.endLost(now, o, g)
		return
	}
	c.Counts.Unconfirmed++
	c.searches.enter(o, pausing, now+searchRetryDelay)
}
