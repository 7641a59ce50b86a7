package front

import (
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/rules"
	"github.com/bramleycourse/bramleycourse/internal/shed"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// urgencyOf returns the urgency of a route's requests.
func urgencyOf(r *rules.Route) shed.Urgency {
	if queue.Urgent(r.Priority) {
		return shed.Urgent
	}
	return shed.Normal
}

// retriesOf returns the budget for further offers of an opening packet. Rejected requests
// come again at once, and the offers for them must not use up that of urgent ones while
// an agent is cut off.
func (c *Core) retriesOf(o *pendingOpening) *budget.Budget {
	if c.urgentRetries != nil && urgencyOf(o.route) == shed.Urgent {
		return c.urgentRetries
	}
	return c.retries
}

// requestOf returns the times of a request.
func requestOf(o *pendingOpening) shed.Request {
	return shed.Request{
		Objective: time.Duration(o.route.ObjectiveMillis) * time.Millisecond,
		Deadline:  time.Duration(o.route.TimeoutMillis) * time.Millisecond, Age: o.age, Again: o.resets > 0,
	}
}

// rejectEarly rejects an opening packet without offering it, if agents take fewer
// requests than come and this one is over the share of its client account. Only the first
// copy of an attempt is rejected, as an agent may hold an earlier one: a reset says that
// nothing ran.
func (c *Core) rejectEarly(now time.Duration, o *pendingOpening, p *flow.Packet) bool {
	if !c.self.RejectEarly || p.Acked > 0 || !c.allKnown(now) {
		return false
	}
	r := requestOf(o)
	v := c.gate.Decide(now, o.service, urgencyOf(o.route), o.key.Caller().Addr(), r, o.key.Hash())
	if o.pressing = v.Pressing; o.pressing {
		c.Counts.Pressed++
	}
	if !v.Reject {
		return false
	}
	c.Counts.EarlyRejected++
	if c.Sample(true) {
		c.decisionLog("earlyRejected", o.key, "reset").WithFields(logrus.Fields{
			"age": o.age, "priority": o.route.Priority, "answerIn": v.Time,
		}).Info("request cannot be served in time")
	}
	c.reset(o.key, p)
	c.gate.Reset(o.service, urgencyOf(o.route), o.key.Caller().Addr())
	c.keepReset(now, now-o.age, o.key, o.resets+1)
	return true
}

// waitsOf returns the times that an agent reports in a frame.
func waitsOf(f *frame.Frame) shed.Times {
	return shed.Times{
		shed.Normal: time.Duration(f.ObjectiveMillis) * time.Millisecond,
		shed.Urgent: time.Duration(f.TimeoutMillis) * time.Millisecond,
	}
}

// noteTaken records that an agent has taken a flow, and the times that it reports.
func (c *Core) noteTaken(now time.Duration, k flow.Key, f *frame.Frame, from netip.AddrPort) {
	if !c.self.RejectEarly || !f.Waits {
		return
	}
	c.gate.Report(now, f.Service, from, waitsOf(f))
	if o := c.pending.byKey[k]; o != nil {
		c.gate.Taken(now, f.Service, urgencyOf(o.route))
	}
}

// noteRefused records that an agent has refused a request for lack of time, and the times
// that it reports. It reports whether the agent did so.
func (c *Core) noteRefused(now time.Duration, f *frame.Frame, from netip.AddrPort, r *rules.Route, waited bool) bool {
	if !c.self.RejectEarly || !f.Waits {
		return false
	}
	c.gate.Report(now, f.Service, from, waitsOf(f))
	c.gate.Refused(now, f.Service, urgencyOf(r), waited)
	return true
}

// offerElsewhere offers a refused opening packet once more, to the agents that would serve
// it in time by their latest reports. The first offer asks only a few agents of a service.
func (c *Core) offerElsewhere(now time.Duration, o *pendingOpening) bool {
	if o.offerCount != 1 {
		return false
	}
	r := requestOf(o)
	better := c.gate.Better(now, o.service, urgencyOf(o.route), r, maxOfferCandidates, func(a netip.AddrPort) bool {
		st := c.agents.byAddr[a]
		return st == nil || c.evacuations.set.Has(st.entry.Place) || st.downAt > 0 || st.pingedAt > 0 || slices.Contains(o.tried, a) || st.entry.State != view.Serving
	})
	if len(better) == 0 {
		return false
	}
	c.Counts.OfferedElsewhere++
	c.pending.byKey[o.key] = o
	c.sendOffer(now, o, better)
	return true
}
