package hostd

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// silentTime is the time after which an upstream that has not returned a packet on
	// trial counts as the one that holds the flow. It normally returns one within a
	// millisecond. A walk along some other agents and the answer to the balancer fit into
	// the 80 ms that the balancer waits.
	silentTime = 30 * time.Millisecond
	// maxSilent is the number of packets that an upstream gets before it has shown that
	// it runs. It acknowledges every second one, and three packets at an upstream that
	// does not hold their flow count as misdelivered.
	maxSilent = 2
	// maxFlowKept limits the packets of one flow that wait. A caller sends up to 16
	// packets without an acknowledgement. maxKept limits those of all flows.
	maxFlowKept, maxKept = 16, 2048
)

// keptPacket is a packet that waits until its upstream is known, and its balancer.
type keptPacket struct {
	balancer netip.AddrPort
	payload  []byte
}

// nextDecision returns when the next trial is to be decided.
func (c *Core) nextDecision() time.Duration {
	if len(c.undecided) == 0 {
		return math.MaxInt64
	}
	return c.undecided[0].at + silentTime
}

// decideTrials claims the flows of packets that the upstream has not returned for
// silentTime.
func (c *Core) decideTrials(now time.Duration) {
	for len(c.undecided) > 0 && now >= c.nextDecision() {
		t := c.undecided[0]
		c.undecided = c.undecided[1:]
		if t.returned || c.trials[t.key] != t {
			continue
		}
		c.decide(now, t)
	}
}

// decide claims the flow of a trial, or returns what has waited for the decision.
func (c *Core) decide(now time.Duration, t *trial) {
	t.decided = true
	if c.claims(now, t) {
		c.passKept(now, t)
	} else {
		c.returnKept(t)
	}
}

// claims reports whether the agent takes its upstream for the one that holds the flow of a
// trial, which may be nil. An upstream that shows no sign of life may stand still and not
// hold the flow. The claim then ends while other upstreams may still be tried, or after a
// missed report if the balancer had a hint that the flow is here.
func (c *Core) claims(now time.Duration, t *trial) bool {
	if t == nil || !t.decided || !c.credible(now, t) {
		return false
	}
	limit := openingTimeout
	switch {
	case t.frame.Hinted:
		limit = c.upstream.expected*5/4 + firstReportSlack
	case t.passed >= maxSilent:
		limit = silentTime
	}
	if !c.upstream.runsSince(t.silentAt) && now-t.at >= limit {
		return false
	}
	if !t.claimed {
		c.Counts.Claimed++
		t.claimed = true
		// The balancer ends its walk.
		t.frame.Kind, t.frame.Candidates = frame.Data, nil
		c.sendClaim(t, t.frame.Balancer)
	}
	return true
}

// credible reports whether the silence of the upstream can mean that it holds a flow.
func (c *Core) credible(now time.Duration, t *trial) bool {
	u := &c.upstream
	return !u.down && !u.refusing && !u.stalled(now) && c.table.Get(t.key) == nil && c.mayHold(now, t.key, t.frame.Service)
}

// runsSince reports whether the upstream has sent a packet or a report after a time.
func (u *upstream) runsSince(at time.Duration) bool {
	return u.lastPacketAt > at || u.reported && u.reportAt > at
}

// continueTrial keeps or passes on a further packet of a flow on trial. It reports false if
// the packet is to be forwarded as missed.
func (c *Core) continueTrial(now time.Duration, t *trial, f *frame.Frame) bool {
	c.decideTrials(now)
	if t.decided && !c.claims(now, t) {
		return false
	}
	if t.decided {
		t.frame.Balancer = f.Balancer
		if !f.Hinted {
			c.sendClaim(t, f.Balancer)
		}
	} else if xxhash.Sum64(f.Payload) == t.sum {
		return true // A search has sent the same packet again.
	}
	if len(t.kept) < maxFlowKept && c.kept < maxKept {
		t.kept = append(t.kept, keptPacket{f.Balancer, slices.Clone(f.Payload)})
		c.kept++
	}
	c.passKept(now, t)
	return true
}

// passKept passes waiting packets of a claimed flow to the upstream.
func (c *Core) passKept(now time.Duration, t *trial) {
	for t.claimed && len(t.kept) > 0 && (t.passed < maxSilent || c.upstream.runsSince(t.silentAt)) {
		b := t.kept[0].payload
		t.kept = t.kept[1:]
		c.kept--
		t.at = now
		if t.passed++; t.passed == maxSilent {
			c.undecided = append(c.undecided, t)
		}
		c.ToUpstream(b)
	}
}

// takeKept removes the waiting packets of a trial and returns them.
func (c *Core) takeKept(t *trial) []keptPacket {
	ps := t.kept
	t.kept = nil
	c.kept -= len(ps)
	return ps
}

// returnKept returns the waiting packets of a flow, which is not known to be here, to their
// balancers.
func (c *Core) returnKept(t *trial) {
	for _, p := range c.takeKept(t) {
		c.forwardMissed(&frame.Frame{
			Kind: frame.Data, Service: t.frame.Service, Balancer: p.balancer, Unsure: !t.returned, Payload: p.payload,
		})
	}
}

// sendClaim tells a balancer that the upstream seems to hold a flow.
func (c *Core) sendClaim(t *trial, balancer netip.AddrPort) {
	c.send(&frame.Frame{
		Kind: frame.Taken, Service: c.upstream.id(), TrialsLeft: t.frame.TrialsLeft, Unsure: true, Payload: t.key[:],
	}, balancer)
}

// compareTrials orders trials by the time of their last packet.
func compareTrials(a, b *trial) int {
	return cmp.Or(cmp.Compare(a.at, b.at), bytes.Compare(a.key[:], b.key[:]))
}

// checkTrials passes on or returns packets that wait, and removes old trials.
func (c *Core) checkTrials(now time.Duration) {
	for _, t := range slices.SortedFunc(maps.Values(c.trials), compareTrials) {
		k := t.key
		switch {
		case now-t.at >= c.self.FlowLifetime:
			c.takeKept(t)
			delete(c.trials, k)
		case len(t.kept) == 0 || !t.decided:
		case c.claims(now, t):
			c.passKept(now, t)
		default:
			c.returnKept(t)
		}
	}
}
