package hostd

import (
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

// trial is a packet at the upstream that may belong to another one.
type trial struct {
	frame frame.Frame
	at    time.Duration
	// back is set once the upstream has returned the packet.
	back bool
	// unsure is set if an agent before this one may hold the flow.
	unsure bool
}

// mayHold reports whether the upstream may hold a flow that is not in the table:
// it ran before the agent did, and has not returned a packet of the flow yet.
func (c *Core) mayHold(now time.Duration, k flow.Key, f *frame.Frame) bool {
	if now-c.started >= c.self.FlowLifetime || f.Service != c.upstream.id() || c.upstream.fresh() {
		return false
	}
	t := c.trials[k]
	if t == nil || !t.back {
		f.Unsure = true
		c.askList()
		return true
	}
	return false
}

// askList looks at the platform's list once if the upstream refuses connections:
// the agent then need not stay unsure until a report is overdue.
func (c *Core) askList() {
	if u := &c.upstream; u.refusing && !u.listAsked {
		u.listAsked = true
		c.CheckListed()
	}
}

// try passes a packet to the upstream because the agent may have lost the
// table entry of its flow. Each flow is tried once.
func (c *Core) try(now time.Duration, k flow.Key, f *frame.Frame, unsure bool) bool {
	if t := c.trials[k]; t != nil {
		// Until the answer to the first packet, the next ones wait at the caller.
		return now-t.at < openingTimeout
	}
	if f.Trials == 0 || len(c.trials) >= maxTrials || !f.Hinted && !c.upstream.outlived() {
		return false
	}
	c.Counts.Tried++
	t := &trial{frame: *f, at: now, unsure: unsure}
	t.frame.Candidates, t.frame.Payload = slices.Clone(f.Candidates), nil
	c.trials[k] = t
	c.ToUpstream(f.Payload)
	return true
}

// recover adds a flow to the table that the upstream turned out to hold.
func (c *Core) recover(now time.Duration, k flow.Key, p *flow.Packet) *flow.Entry {
	e := c.table.Learn(now, k)
	if e == nil {
		return nil
	}
	c.Counts.Recovered++
	if t := c.trials[k]; t != nil {
		e.Balancer = t.frame.Balancer
		delete(c.trials, k)
		c.tell(k, e.Balancer)
	}
	return c.table.FromUpstream(now, k, p)
}
