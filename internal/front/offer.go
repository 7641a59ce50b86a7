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
	// minOfferTimeout is after what time without an answer an opening packet is
	// offered to other agents: six hops between places and a handshake take 10 ms.
	minOfferTimeout = 30 * time.Millisecond
	// maxOfferTimeout is the same when answers are slow, because the balancer's
	// link or processor is busy: the caller's own copy comes after 200 ms.
	maxOfferTimeout = 200 * time.Millisecond
	// answerFactor is how many mean answer times the timeout is in between.
	answerFactor = 3
	// answerSamples is the number of offers that the mean reaches back.
	answerSamples = 16
	// maxOffers is how often an opening packet is offered before the caller's
	// own copy, 200 ms after it, has to do.
	maxOffers = 4
	// maxPending bounds the opening packets without an answer.
	maxPending = 4096
)

// retryBudget bounds the offers after an unanswered one. When everything is
// slow, more offers would only add to the load. The floor and the burst cover
// the loss of one agent.
var retryBudget = budget.Config{Ratio: 0.1, FloorPerSecond: 10, Burst: 40}

// clockOf turns the time since the start into the time that a budget takes.
func clockOf(now time.Duration) time.Time { return time.Time{}.Add(now) }

// pending is an opening packet that no agent has taken yet.
type pending struct {
	key     flow.Key
	packet  []byte
	service frame.ServiceID
	route   *rules.Route
	// tried are the agents that did not answer or refused.
	tried []netip.AddrPort
	// offered is the list of the last offer.
	offered []netip.AddrPort
	offers  int
	// began is when the packet was first offered, age how old its request was then.
	began, age time.Duration
	// deadline is when the last offer counts as unanswered.
	deadline time.Duration
	done     bool
}

// pendings holds opening packets in the order of their offers. The timeout
// changes slowly, so a queue is enough.
type pendings struct {
	byKey map[flow.Key]*pending
	queue []*pending
	// answer is a moving average of the time from an offer to its answer.
	answer time.Duration
}

func (p *pendings) sample(d time.Duration) { p.answer += (d - p.answer) / answerSamples }

// timeout returns after what time an offer counts as unanswered.
func (p *pendings) timeout() time.Duration {
	return min(max(answerFactor*p.answer, minOfferTimeout), maxOfferTimeout)
}

func (p *pendings) push(o *pending) { p.queue = append(p.queue, o) }

func (p *pendings) drop(k flow.Key) {
	if o := p.byKey[k]; o != nil {
		o.done = true
		delete(p.byKey, k)
	}
}

// next returns the time until the first deadline.
func (p *pendings) next(now time.Duration) time.Duration {
	for len(p.queue) > 0 && p.queue[0].done {
		p.queue = p.queue[1:]
	}
	if len(p.queue) == 0 {
		p.queue = nil
		return tickInterval
	}
	return max(0, p.queue[0].deadline-now)
}

// open offers an opening packet to the agents of its service.
func (c *Core) open(now time.Duration, k flow.Key, p *flow.Packet, b []byte) {
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
	o := &pending{key: k, packet: slices.Clone(b), service: frame.IDOf(r.Service(k.Hash())), route: r}
	if hint, taken := c.hints.Get(now, k, false); taken {
		if p.Acked < 2 {
			// The answer of the upstream was lost: the same agent answers again.
			f := c.opening(frame.Placed, o)
			c.send(&f, hint.Agent)
			return
		}
		o.tried = append(o.tried, hint.Agent)
	}
	if len(c.pending.byKey) >= maxPending {
		c.Counts.GivenUp++
		return
	}
	c.pending.byKey[k] = o
	o.age = now - c.rejections.take(now, requesterOf(k))
	c.retries.Request(clockOf(now))
	c.offer(now, o)
}

// opening returns a frame with an opening packet.
func (c *Core) opening(k frame.Kind, o *pending) frame.Frame {
	return frame.Frame{
		Kind: k, Service: o.service, Balancer: c.self.Peer, Payload: o.packet,
		AgeMillis:       millis(int(o.age / time.Millisecond)),
		ObjectiveMillis: millis(o.route.ObjectiveMillis), TimeoutMillis: millis(o.route.TimeoutMillis), Priority: o.route.Priority,
	}
}

// millis fits a time into a frame; a longer one counts as the longest.
func millis(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }

// offer sends the packet to the agents that have not been tried yet.
func (c *Core) offer(now time.Duration, o *pending) {
	n := c.members.group(o.service).usable.Order(o.key.Hash(), maxNear, c.ids[:maxOffered+len(o.tried)])
	f := c.opening(frame.Offer, o)
	o.offered = o.offered[:0]
	for _, id := range c.ids[:n] {
		if !slices.Contains(o.tried, id.Addr) && len(f.Candidates) < maxOffered {
			f.Candidates = append(f.Candidates, frame.Candidate{Addr: id.Addr})
			o.offered = append(o.offered, id.Addr)
		}
	}
	if len(f.Candidates) == 0 {
		c.reject(now, o)
		return
	}
	if o.offers == 0 {
		o.began = now
	}
	o.offers++
	o.deadline = now + c.pending.timeout()
	c.pending.push(o)
	c.send(&f, o.offered[0])
}

// reject tells the caller at once that nobody takes the flow. A balancer that
// has just started and does not know the agents yet keeps the packet until it does.
func (c *Core) reject(now time.Duration, o *pending) {
	if !c.settled(now) && o.offers == 0 {
		o.deadline = now + minOfferTimeout
		c.pending.push(o)
		return
	}
	c.pending.drop(o.key)
	c.Counts.NoUpstream++
	if c.Sample(true) {
		c.decision("openingRejected", o.key, "reset").WithFields(logrus.Fields{
			"tried": o.tried, "offers": o.offers, "usable": c.members.group(o.service).usable.Len(),
		}).Info("no upstream for a new flow")
	}
	if p, ok := c.codec.Decode(o.packet); ok {
		c.reset(o.key, &p)
		c.rejected(now, now-o.age, o.key)
	}
}

// refused offers a packet to the remaining agents after all of a list refused it.
func (c *Core) refused(now time.Duration, f *frame.Frame, from netip.AddrPort) {
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
	if h, taken := c.hints.Get(now, k, false); taken && h.Agent != from {
		// Another agent has taken the flow meanwhile.
		return
	}
	again := &pending{
		key: k, packet: slices.Clone(f.Payload), service: f.Service, route: r,
		tried: []netip.AddrPort{from}, age: time.Duration(f.AgeMillis) * time.Millisecond,
	}
	if o := c.pending.byKey[k]; o != nil {
		again.offers = o.offers
		again.tried = append(append(again.tried, o.tried...), o.offered...)
	}
	c.pending.drop(k)
	c.hints.Drop(k, from)
	if !allClosed(f) {
		// The agent was the least loaded one that was asked.
		c.reject(now, again)
		return
	}
	c.pending.byKey[k] = again
	c.offer(now, again)
}

// allClosed reports whether no agent of a list takes flows for another reason
// than its load.
func allClosed(f *frame.Frame) bool {
	for _, a := range f.Candidates {
		if a.Depth != frame.NoDepth {
			return false
		}
	}
	return true
}

// retryHeld offers the packets that wait for the first agents.
func (c *Core) retryHeld(now time.Duration) {
	for _, o := range c.pending.queue {
		if !o.done && o.offers == 0 {
			o.deadline = now
		}
	}
	c.retryDue(now)
}

// retryDue offers packets again whose last offer was not answered in time.
func (c *Core) retryDue(now time.Duration) {
	for c.pending.next(now) == 0 {
		// next removes what is done, so the queue begins with a packet that is due.
		o := c.pending.queue[0]
		c.pending.queue = c.pending.queue[1:]
		for _, a := range o.offered {
			c.members.suspect(now, a, c)
		}
		if o.offers == 0 {
			c.offer(now, o)
			continue
		}
		if o.offers >= maxOffers || !c.retries.Retry(clockOf(now)) {
			c.Counts.GivenUp++
			c.pending.drop(o.key)
			continue
		}
		c.Counts.Retried++
		o.tried = append(o.tried, o.offered[0])
		c.offer(now, o)
	}
}
