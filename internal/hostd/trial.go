package hostd

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// trial holds the frame of a packet that was passed to the upstream although another
// upstream may hold its flow.
type trial struct {
	key   flow.Key
	frame frame.Frame
	// sum is the hash of the packet. passed is the number of the flow's packets that were
	// passed to the upstream, the latest one at the time at.
	sum    uint64
	passed int
	at     time.Duration
	// decided is set once the upstream has been silent for silentTime after the first of
	// them, at silentAt, and claimed once it has counted as the one that holds the flow.
	decided, claimed bool
	silentAt         time.Duration
	// kept are the packets that wait, oldest first.
	kept []keptPacket
	// returned is set once the upstream has returned the packet.
	returned bool
	// unsure is set if an earlier agent of the walk may hold the flow.
	unsure bool
}

// silentTrialTimeout is the time without a packet from an upstream that refuses
// connections, after a packet was tried there, from which on it counts as absent. A
// running upstream answers or returns a packet within a millisecond, and a CPU quota
// stalls a process for at most 100 ms.
const silentTrialTimeout = 200 * time.Millisecond

// handleQuery tells a balancer which of some flows the agent holds.
func (c *Core) handleQuery(now time.Duration, f *frame.Frame) {
	number, keys, ok := f.Query()
	if !ok {
		c.Counts.Foreign++
		return
	}
	answers := make([]frame.Holds, len(keys))
	for n, k := range keys {
		e := c.table.Get(k)
		switch {
		case e != nil && e.Open():
			answers[n] = frame.Held
		case e != nil:
			answers[n] = frame.Opening
		case c.claims(now, c.trials[k]):
			answers[n] = frame.Claimed
		case c.hasReturned(k):
			answers[n] = frame.Returned
		case !c.mayHold(now, k, f.Service):
		case c.upstream.mayHoldOldFlows():
			answers[n] = frame.MaybeHeld
		case c.upstream.refusing || c.upstream.unheard():
			answers[n] = frame.Unlikely
			c.checkListing()
		default:
			answers[n] = frame.NotKnown
		}
	}
	c.send(&frame.Frame{Kind: frame.Holding, Service: c.upstream.id(), Payload: frame.HoldingPayload(number, answers)}, f.Balancer)
}

// hasReturned reports whether the upstream has returned a packet of a flow that it got on
// trial.
func (c *Core) hasReturned(k flow.Key) bool {
	t := c.trials[k]
	return t != nil && t.returned
}

// mayHold reports whether the upstream may hold a flow that is not in the table. This
// is so if it may have run before the agent and has not returned a packet of the flow
// yet.
func (c *Core) mayHold(now time.Duration, k flow.Key, s frame.ServiceID) bool {
	if now-c.started >= c.self.FlowLifetime || s != c.upstream.id() || c.upstream.hasNoOldFlows() {
		return false
	}
	t := c.trials[k]
	return t == nil || !t.returned
}

// markUnsure marks the frame as unsure if the upstream may hold a flow that is not in
// the table, and reports whether it may.
func (c *Core) markUnsure(now time.Duration, k flow.Key, f *frame.Frame) bool {
	if !c.mayHold(now, k, f.Service) {
		return false
	}
	f.Unsure = true
	c.checkListing()
	return true
}

// checkListing checks the platform's list once if the upstream refuses connections.
// An agent that is not listed need not wait until a report is overdue to know that
// there is no upstream.
func (c *Core) checkListing() {
	if u := &c.upstream; u.refusing && !u.listChecked {
		u.listChecked = true
		c.CheckListed()
	}
}

// tryUpstream passes a packet to the upstream because the agent may have lost the
// table entry of its flow in a restart. Each flow is tried once. The result is true if
// the packet has been passed on or kept, and false if the caller of tryUpstream has
// to forward it as missed.
func (c *Core) tryUpstream(now time.Duration, k flow.Key, f *frame.Frame, unsure bool) bool {
	if t := c.trials[k]; t != nil {
		return c.continueTrial(now, t, f)
	}
	if f.TrialsLeft == 0 || len(c.trials) >= maxTrials || !f.Hinted && !c.upstream.mayHoldOldFlows() {
		return false
	}
	c.passOnTrial(now, k, f, unsure)
	return true
}

// passOnTrial passes a packet to the upstream and remembers its frame.
func (c *Core) passOnTrial(now time.Duration, k flow.Key, f *frame.Frame, unsure bool) {
	c.Counts.Tried++
	t := &trial{key: k, frame: *f, at: now, unsure: unsure, sum: xxhash.Sum64(f.Payload), passed: 1, silentAt: now + silentTime}
	t.frame.Candidates, t.frame.Payload = slices.Clone(f.Candidates), nil
	c.trials[k] = t
	c.undecided = append(c.undecided, t)
	c.ToUpstream(f.Payload)
}

// handleTrial passes a packet on trial to an upstream that refuses connections. The
// balancer does not wait for an answer.
func (c *Core) handleTrial(now time.Duration, f *frame.Frame) {
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if p.Fin || c.table.Get(k) != nil || c.trials[k] != nil || len(c.trials) >= maxTrials || !c.mayHold(now, k, f.Service) {
		return // The balancer asks again.
	}
	c.upstream.noteTrial(now)
	c.passOnTrial(now, k, f, false)
}

// recoverFlow adds a flow to the table that the upstream has sent a packet of.
func (c *Core) recoverFlow(now time.Duration, k flow.Key, p *flow.Packet) *flow.Entry {
	e := c.table.AddEstablished(now, k)
	if e == nil {
		return nil
	}
	c.Counts.Recovered++
	t := c.trials[k]
	if t == nil {
		return c.table.FromUpstream(now, k, p)
	}
	e.Balancer = t.frame.Balancer
	delete(c.trials, k)
	c.sendTaken(now, k, e.Balancer)
	e = c.table.FromUpstream(now, k, p)
	c.passAllKept(now, k, t)
	return e
}

// passAllKept passes the waiting packets of a flow that is in the table now to the upstream.
func (c *Core) passAllKept(now time.Duration, k flow.Key, t *trial) {
	for _, b := range c.takeKept(t) {
		if q, ok := c.codec.Decode(b.payload); ok {
			c.table.FromCaller(now, k, &q, b.balancer)
		}
		c.ToUpstream(b.payload)
	}
}
