package hostd

import (
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

// opening holds the frame in which an opening packet arrived and the time of its
// arrival, or of its admission once it has been admitted.
type opening struct {
	frame frame.Frame
	at    time.Duration
	// seq is the sequence number of the packet, once it has been admitted.
	seq uint32
}

// handleOffer admits, queues, forwards or refuses an opening packet.
func (c *Core) handleOffer(now time.Duration, f *frame.Frame) {
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if e := c.table.Get(k); e != nil && f.Service == c.upstream.id() && e.IsCopy(&p) {
		c.handleRepeatedOpening(now, k, f)
		return
	}
	if c.waitingOpenings[k] != nil {
		c.sendTaken(now, k, f.Balancer)
		return
	}
	c.announceLimit(now, f)
	l := c.Load(now)
	if f.Service != c.upstream.id() {
		c.Counts.WrongService++
		l.Closed = true
	}
	item := c.newItem(now, k, &p, f)
	tooLate := !l.Closed && !c.mayWait(now, c.turn(now), &item)
	l.Closed = l.Closed || tooLate
	probe := l.Failing && c.outcomes.mayProbe(now, queue.Urgent(f.Priority))
	l.Failing = l.Failing && !probe
	c.compare(now, f, &l)
	switch place.Decide(l, f) {
	case admit.Take:
		if probe {
			c.outcomes.probe(now)
		}
		c.admitOrQueue(now, item, f)
	case admit.Forward:
		c.Counts.Forwarded++
		c.send(f, f.Candidates[f.Position].Addr)
	case admit.Refuse:
		c.refuseOffer(now, f, tooLate)
	}
}

// noteAnswered handles that the upstream has answered an opening packet. was is the entry of
// the flow before; it differs if the upstream has opened another flow from the same address.
func (c *Core) noteAnswered(now time.Duration, k flow.Key, e, was *flow.Entry) {
	if e != was && was.Open() {
		c.Counts.Reopened++
		if c.Sample(true) {
			c.decisionLog("flowDropped", k, "reopened", now).WithFields(logrus.Fields{
				"age": was.Age(now), "idle": now - was.LastPacketAt,
			}).Info("the upstream has opened another flow from the same address")
		}
	}
	o := c.openings[k]
	if o == nil {
		return
	}
	delete(c.openings, k)
	if e != was {
		e.SetOpening(o.seq)
		e.Class = o.frame.Priority
	}
	if e != was || e.Open() {
		e.Balancer = o.frame.Balancer
	}
	c.sendTaken(now, k, e.Balancer)
}

// refuseOffer returns an offer that the upstream does not get. tooLate is set if the only
// reason is that its turn at the cold upstream does not come in time.
func (c *Core) refuseOffer(now time.Duration, f *frame.Frame, tooLate bool) {
	if tooLate {
		c.passOn(now, f)
		return
	}
	if f.Kind == frame.Placed && c.evacuated() {
		// The agent was chosen while it was open. Another one may still take the flow.
		f.Candidates = nil
	}
	c.refuse(now, f)
}

// newItem returns an opening packet as an item of the queue. The item refers to the
// bytes of the frame.
func (c *Core) newItem(now time.Duration, k flow.Key, p *flow.Packet, f *frame.Frame) queue.Item {
	i := queue.Item{
		Key: k, Attempt: now - copyAge(p), Priority: f.Priority, Packet: f.Payload,
		Objective: time.Duration(f.ObjectiveMillis) * time.Millisecond,
		Deadline:  time.Duration(f.TimeoutMillis) * time.Millisecond,
	}
	i.Began = i.Attempt - time.Duration(f.AgeMillis)*time.Millisecond
	return i
}

// handleRepeatedOpening passes a copy of an opening packet to the upstream, which got the
// first one. The caller of a flow that is open has the upstream's answer and needs no other.
func (c *Core) handleRepeatedOpening(now time.Duration, k flow.Key, f *frame.Frame) {
	e := c.table.Get(k)
	if e.Open() {
		c.Counts.Copies++
		c.sendTaken(now, k, f.Balancer)
		return
	}
	if e.Answered() {
		c.sendTaken(now, k, f.Balancer)
	} else {
		c.table.AddOpening(now, k, f.Balancer)
	}
	c.ToUpstream(f.Payload)
}

// admitOrQueue passes an opening packet to the upstream, or queues it until a slot
// is free.
func (c *Core) admitOrQueue(now time.Duration, item queue.Item, f *frame.Frame) {
	k := item.Key
	o := &opening{frame: *f, at: now}
	o.frame.Candidates, o.frame.Payload = slices.Clone(f.Candidates), nil
	c.noteArrival(now, &item)
	cold := c.turn(now) > 0
	if !cold && c.hasRoom(now, queue.UrgencyOf(f.Priority)) {
		c.admit(now, k, o, f.Payload)
		return
	}
	if !cold && c.refuseEarly(now, &item, o) {
		return
	}
	queued := item // Only a packet that waits is allocated.
	queued.Packet = slices.Clone(f.Payload)
	queued.Patient = c.self.RejectEarly && requestOf(now, &item).Patient()
	c.Counts.Held++
	if cold {
		c.Counts.ColdHeld++
	}
	c.waitingOpenings[k] = o
	c.sendTaken(now, k, f.Balancer)
	if evicted := c.waiting.Put(now, &queued, c.serviceTimes()); evicted != nil {
		c.rejectWaiting(now, "queueFull", evicted)
	}
	c.wakeForTurn(now)
}

// serviceTimes returns the present service times of the upstream.
func (c *Core) serviceTimes() queue.ServiceTimes {
	s := queue.ServiceTimes{Work: c.table.Work(), Handshake: c.table.Handshake()}
	if c.self.RejectEarly {
		s.Handshake = min(s.Handshake, maxHandshake)
	}
	return s
}

// copyAges holds the age of an attempt at which a caller sends each copy of its
// opening packet.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// copyAge returns the age of the attempt that an opening packet belongs to. Acked
// holds the number of the copy.
func copyAge(p *flow.Packet) time.Duration { return copyAges[min(int(p.Acked), len(copyAges)-1)] }

// hasRoom reports whether the upstream may get another flow.
func (c *Core) hasRoom(now time.Duration, u queue.Urgency) bool {
	return queue.HasRoom(c.room(now), c.table.Busy(now), c.spareUrgency(u), c.serviceTimes())
}

// admit passes an opening packet to the upstream.
func (c *Core) admit(now time.Duration, k flow.Key, o *opening, packet []byte) {
	p, _ := c.codec.Decode(packet) // Cannot fail: handleOffer has decoded it before.
	// A flow from the same address that was answered goes on until the upstream opens this one.
	if e := c.table.Get(k); e == nil || !e.Answered() && !e.Open() {
		if e = c.table.AddOpening(now, k, o.frame.Balancer); e == nil {
			c.Counts.Full++
			c.refuseOpening(now, o, packet)
			return
		}
		e.SetOpening(p.Seq)
		e.Class = o.frame.Priority
	}
	c.Counts.Taken++
	c.upstream.ramp.Take(now)
	waited := now - o.at
	c.RecordWait(waited)
	if c.Sample(waited >= slowWait) {
		age := time.Duration(o.frame.AgeMillis)*time.Millisecond + copyAge(&p) + waited
		c.decisionLog("flowAdmitted", k, "admitted", now).WithFields(logrus.Fields{
			"age": age, "waited": waited, "priority": o.frame.Priority, "balancer": o.frame.Balancer,
		}).Info("flow admitted to the upstream")
	}
	o.at, o.seq = now, p.Seq
	c.openings[k] = o
	c.upstream.noteOpening(now)
	c.ToUpstream(packet)
}

// refuseOpening returns an opening packet to its balancer as refused.
func (c *Core) refuseOpening(now time.Duration, o *opening, packet []byte) {
	f := o.frame
	f.Payload = packet
	c.refuse(now, &f)
}

// admitWaiting admits waiting packets while the upstream has room, and rejects those
// that have expired. If the upstream takes no flows, it rejects all of them.
func (c *Core) admitWaiting(now time.Duration) {
	if c.waiting.Len() == 0 {
		return
	}
	if c.evacuated() {
		c.handBackWaiting(now)
		return
	}
	if !c.upstream.accepts() || c.leaving || c.upstream.stalled(now) {
		c.rejectWaiting(now, "upstreamClosed", c.waiting.Clear()...)
		return
	}
	mayTake := func(i *queue.Item) bool {
		return c.upstream.ramp.Wait(now, 0) == 0 && c.hasRoom(now, i.Urgency())
	}
	for {
		i := c.waiting.Next(now, c.serviceTimes(), mayTake)
		if i == nil {
			break
		}
		o := c.waitingOpenings[i.Key]
		delete(c.waitingOpenings, i.Key)
		c.admit(now, i.Key, o, i.Packet)
	}
	for _, i := range c.waiting.Expired(now, c.serviceTimes()) {
		c.rejectWaiting(now, string(i.Expired), i)
	}
	c.wakeForTurn(now)
}

// rejectWaiting refuses packets that have left the queue without being admitted, and
// returns them to their balancers.
func (c *Core) rejectWaiting(now time.Duration, reason string, items ...*queue.Item) {
	for _, i := range items {
		if c.Sample(true) {
			c.decisionLog("openingGivenBack", i.Key, reason, now).WithField("age", now-i.Began).Info("opening packet waited in vain")
		}
		o := c.waitingOpenings[i.Key]
		delete(c.waitingOpenings, i.Key)
		o.frame.AgeMillis = uint16(min((now-i.Began)/time.Millisecond, math.MaxUint16))
		c.refuseOpening(now, o, i.Packet)
	}
}

func (c *Core) refuse(now time.Duration, f *frame.Frame) {
	c.Counts.Refused++
	f.Kind = frame.Refused
	c.addWaits(now, f)
	c.send(f, f.Balancer)
}

// forwardReturnedOpening handles an opening packet that the upstream has returned as
// if the upstream took no new flows: it forwards the packet to the candidate that
// place.Decide chooses, or refuses it.
func (c *Core) forwardReturnedOpening(now time.Duration, k flow.Key, b []byte) {
	o := c.openings[k]
	if o == nil {
		return
	}
	delete(c.openings, k)
	if e := c.table.Get(k); e != nil && !e.Answered() && !e.Open() {
		c.table.Drop(k)
	}
	f := o.frame
	f.Payload = b
	if place.Decide(place.Load{Slots: 1, Closed: true}, &f) == admit.Forward {
		c.Counts.Forwarded++
		c.send(&f, f.Candidates[f.Position].Addr)
		return
	}
	c.refuse(now, &f)
}
