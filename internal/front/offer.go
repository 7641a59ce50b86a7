package front

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// minOfferTimeout is the shortest time without an answer after which an opening
	// packet is offered to other agents. Six hops between places and a handshake
	// take 10 ms.
	minOfferTimeout = 30 * time.Millisecond
	// maxOfferTimeout is the upper bound when answers are slow because the
	// balancer's link or CPU is busy. The caller retransmits after 200 ms.
	maxOfferTimeout = 200 * time.Millisecond
	// answerFactor is the timeout in mean answer times, within these bounds.
	answerFactor = 3
	// answerSamples is the number of answers that the moving average covers.
	answerSamples = 16
	// maxOffers is how often an opening packet is offered. After that the balancer
	// waits for the caller's retransmission, 200 ms after the packet.
	maxOffers = 4
	// maxPending limits the opening packets without an answer.
	maxPending = 4096
)

// retryBudget limits the offers that are repeated after an unanswered one. When
// the whole system is slow, more offers would only add to the load. The floor and
// the burst cover the loss of one agent.
var retryBudget = budget.Config{Ratio: 0.1, FloorPerSecond: 10, Burst: 40}

// budgetTime converts the time since the start to the time type of budget.Budget.
func budgetTime(now time.Duration) time.Time { return time.Time{}.Add(now) }

// pendingOpening is an opening packet that no agent has taken yet.
type pendingOpening struct {
	key     flow.Key
	packet  []byte
	service frame.ServiceID
	route   *rules.Route
	// tried are the agents that did not answer or that refused the flow.
	tried []netip.AddrPort
	// offered are the candidates of the last offer.
	offered []netip.AddrPort
	// offerCount is 0 while the packet waits for the first agents to be known.
	offerCount int
	// firstOffered is when the packet was first offered, age how old its request
	// was when the packet arrived from the caller or, in a Refused frame, when an
	// agent rejected it.
	firstOffered, age time.Duration
	// deadline is when the last offer times out.
	deadline time.Duration
	done     bool
	// pressing is set if the client account sends more than its share.
	pressing bool
	// resets is the number of resets of the request before.
	resets uint8
}

// pendingOpenings holds opening packets in the order of their last offers. The
// timeout changes slowly, so a queue orders the deadlines well enough.
type pendingOpenings struct {
	byKey map[flow.Key]*pendingOpening
	queue []*pendingOpening
	// mean is a moving average of the time from the first offer of a packet
	// to its answer.
	mean time.Duration
}

func (p *pendingOpenings) recordAnswer(d time.Duration) { p.mean += (d - p.mean) / answerSamples }

// timeout returns the time after which an offer counts as unanswered.
func (p *pendingOpenings) timeout() time.Duration {
	return min(max(answerFactor*p.mean, minOfferTimeout), maxOfferTimeout)
}

func (p *pendingOpenings) push(o *pendingOpening) { p.queue = append(p.queue, o) }

func (p *pendingOpenings) drop(k flow.Key) {
	if o := p.byKey[k]; o != nil {
		o.done = true
		delete(p.byKey, k)
	}
}

// untilDeadline returns the time until the first deadline; tickInterval if there
// is none.
func (p *pendingOpenings) untilDeadline(now time.Duration) time.Duration {
	for len(p.queue) > 0 && p.queue[0].done {
		p.queue = p.queue[1:]
	}
	if len(p.queue) == 0 {
		p.queue = nil
		return tickInterval
	}
	return max(0, p.queue[0].deadline-now)
}

// handleOpening offers an opening packet to the agents of its service.
func (c *Core) handleOpening(now time.Duration, k flow.Key, p *flow.Packet, b []byte) {
	c.Counts.Opened++
	r := c.rules.Route(k.Route())
	if r == nil {
		c.Counts.NoRoute++
		if c.rules != nil {
			c.reset(k, p)
		}
		return
	}
	if c.pending.byKey[k] != nil {
		return
	}
	if o := c.searches.byKey[k]; o != nil {
		// The caller uses the port again; the earlier flow is over.
		c.searches.end(o)
	}
	o := &pendingOpening{key: k, packet: slices.Clone(b), service: frame.ServiceIDOf(r.Service(k.Hash())), route: r}
	if hint, taken := c.hints.Get(now, k); taken {
		if p.Acked < 2 {
			// The packet is the first or second copy. The upstream's answer was
			// lost, so the same agent must answer again. From the third copy on,
			// another agent gets the packet.
			f := c.openingFrame(frame.Placed, o)
			c.send(&f, hint.Agent)
			return
		}
		o.tried = append(o.tried, hint.Agent)
		c.hints.Reopen(k)
	}
	if len(c.pending.byKey) >= maxPending {
		c.Counts.GivenUp++
		return
	}
	start, resets := c.rejections.take(now, requesterOf(k))
	o.age, o.resets = now-start, resets
	if c.rejectEarly(now, o, p) {
		return
	}
	c.pending.byKey[k] = o
	c.retriesOf(o).Request(budgetTime(now))
	c.offer(now, o)
}

// openingFrame returns a frame of the given kind with an opening packet.
func (c *Core) openingFrame(k frame.Kind, o *pendingOpening) frame.Frame {
	f := frame.Frame{
		Kind: k, Service: o.service, Balancer: c.self.Peer, Payload: o.packet, Pressing: o.pressing,
		AgeMillis:       clampMillis(int(o.age / time.Millisecond)),
		ObjectiveMillis: clampMillis(o.route.ObjectiveMillis), TimeoutMillis: clampMillis(o.route.TimeoutMillis), Priority: o.route.Priority,
	}
	if s, limited := c.limited[o.service]; limited {
		f.ColdRate, f.Warmup = s.ColdRate, time.Duration(s.WarmupMillis)*time.Millisecond
	}
	if c.self.RejectEarly {
		f.TrialsLeft = o.resets
	}
	return f
}

// clampMillis limits a time in milliseconds to the range of its frame field.
func clampMillis(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// offer sends the packet to agents that have not been tried yet.
func (c *Core) offer(now time.Duration, o *pendingOpening) {
	n := c.agents.group(o.service).usable.Rank(o.key.Hash(), maxLocalCandidates, c.ids[:min(maxOfferCandidates+len(o.tried), len(c.ids))])
	var agents []netip.AddrPort
	for _, id := range c.ids[:n] {
		if !slices.Contains(o.tried, id.Addr) && len(agents) < maxOfferCandidates {
			agents = append(agents, id.Addr)
		}
	}
	if len(agents) == 0 {
		c.reject(now, o)
		return
	}
	c.sendOffer(now, o, agents)
}

// sendOffer offers the packet to the given agents.
func (c *Core) sendOffer(now time.Duration, o *pendingOpening, agents []netip.AddrPort) {
	f := c.openingFrame(frame.Offer, o)
	for _, a := range agents {
		f.Candidates = append(f.Candidates, frame.Candidate{Addr: a})
	}
	o.offered = append(o.offered[:0], agents...)
	if o.offerCount == 0 {
		o.firstOffered = now
	}
	o.offerCount++
	o.deadline = now + c.pending.timeout()
	c.pending.push(o)
	c.send(&f, o.offered[0])
}

// reject resets a flow that no agent takes, so that the caller learns it at once.
// A balancer that has just started and does not know the agents yet keeps the
// packet until it does.
func (c *Core) reject(now time.Duration, o *pendingOpening) {
	if !c.allKnown(now) && o.offerCount == 0 {
		o.deadline = now + minOfferTimeout
		c.pending.push(o)
		return
	}
	c.pending.drop(o.key)
	c.Counts.NoUpstream++
	if c.Sample(true) {
		c.decisionLog("openingRejected", o.key, "reset").WithFields(logrus.Fields{
			"tried": o.tried, "offers": o.offerCount, "usable": c.agents.group(o.service).usable.Len(),
		}).Info("no upstream for a new flow")
	}
	if p, ok := c.codec.Decode(o.packet); ok {
		c.reset(o.key, &p)
		if c.self.RejectEarly {
			c.gate.Reset(o.service, urgencyOf(o.route), o.key.Caller().Addr())
		}
		c.recordReset(now, now-o.age, o.key, o.resets+1)
	}
}

// handleRefused handles an opening packet that all candidates of a list refused,
// or that one agent rejected because it is full, because its upstream no longer
// takes flows, or because the packet expired in its queue. It offers the packet to
// the remaining agents if no listed candidate takes flows at all, and rejects the
// flow otherwise. An agent whose place is evacuated lists none: the others were not asked.
func (c *Core) handleRefused(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	c.Counts.Refused++
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	r := c.rules.Route(k.Route())
	if r == nil {
		return
	}
	if h, taken := c.hints.Get(now, k); taken && h.Agent != from {
		// Another agent has taken the flow in the meantime.
		return
	}
	again := &pendingOpening{
		key: k, packet: slices.Clone(f.Payload), service: f.Service, route: r,
		tried: []netip.AddrPort{from}, age: time.Duration(f.AgeMillis) * time.Millisecond, resets: f.TrialsLeft,
	}
	if o := c.pending.byKey[k]; o != nil {
		again.offerCount, again.pressing = o.offerCount, o.pressing
		again.tried = append(again.tried, o.tried...)
		if len(f.Candidates) > 0 {
			again.tried = append(again.tried, o.offered...)
		}
	}
	c.pending.drop(k)
	c.hints.Drop(k, from)
	if !allClosed(f) {
		if c.noteRefused(now, f, from, r, again.offerCount == 0) && c.offerElsewhere(now, again) {
			return
		}
		// The agent was the least loaded candidate, or had accepted the packet before
		// it rejected it.
		c.reject(now, again)
		return
	}
	c.pending.byKey[k] = again
	c.offer(now, again)
}

// allClosed reports whether all listed candidates refuse flows for a reason other
// than their load. It is true for an empty list.
func allClosed(f *frame.Frame) bool {
	for _, a := range f.Candidates {
		if a.Depth != frame.DepthClosed {
			return false
		}
	}
	return true
}

// offerWaiting offers the packets that wait for the first agents to be known.
func (c *Core) offerWaiting(now time.Duration) {
	for _, o := range c.pending.queue {
		if !o.done && o.offerCount == 0 {
			o.deadline = now
		}
	}
	c.retryDue(now)
}

// retryDue probes the agents that have not answered an offer in time and offers
// the packets to other agents.
func (c *Core) retryDue(now time.Duration) {
	for c.pending.untilDeadline(now) == 0 {
		// untilDeadline removes finished packets, so the first one is due.
		o := c.pending.queue[0]
		c.pending.queue = c.pending.queue[1:]
		for _, a := range o.offered {
			c.agents.probe(now, a, c)
		}
		if o.offerCount == 0 {
			c.offer(now, o)
			continue
		}
		if o.offerCount >= maxOffers || !c.retriesOf(o).Retry(budgetTime(now)) {
			c.Counts.GivenUp++
			c.pending.drop(o.key)
			continue
		}
		c.Counts.Retried++
		o.tried = append(o.tried, o.offered[0])
		c.offer(now, o)
	}
}
