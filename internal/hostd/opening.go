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

// opening is an opening packet at the upstream with the frame that brought it.
type opening struct {
	frame frame.Frame
	at    time.Duration
}

// offered decides on an opening packet.
func (c *Core) offered(now time.Duration, f *frame.Frame) {
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if e := c.table.Get(k); e != nil && f.Service == c.upstream.id() {
		c.repeated(now, k, f)
		return
	}
	if c.frames[k] != nil {
		c.tell(k, f.Balancer)
		return
	}
	l := c.Load(now)
	if f.Service != c.upstream.id() {
		c.Counts.WrongService++
		l.Closed = true
	}
	probe := l.Failing && c.outcomes.mayProbe(now, queue.Urgent(f.Priority))
	l.Failing = l.Failing && !probe
	switch place.Decide(l, f) {
	case admit.Take:
		if probe {
			c.outcomes.probe(now)
		}
		c.take(now, k, &p, f)
	case admit.Forward:
		c.Counts.Forwarded++
		c.send(f, f.Candidates[f.Position].Addr)
	case admit.Refuse:
		c.refuse(f)
	}
}

// repeated passes a copy of an opening packet on to the upstream that got the first one.
func (c *Core) repeated(now time.Duration, k flow.Key, f *frame.Frame) {
	if e := c.table.Get(k); e.Answered() {
		c.tell(k, f.Balancer)
	} else {
		c.table.Opening(now, k, f.Balancer)
	}
	c.ToUpstream(f.Payload)
}

// take passes an opening packet to the upstream, or keeps it until a slot is free.
func (c *Core) take(now time.Duration, k flow.Key, p *flow.Packet, f *frame.Frame) {
	o := &opening{frame: *f, at: now}
	o.frame.Candidates, o.frame.Payload = slices.Clone(f.Candidates), nil
	if c.free(now, queue.Urgent(f.Priority)) {
		c.admit(now, k, o, f.Payload)
		return
	}
	item := queue.Item{
		Key: k, Attempt: now - copyAge(p), Priority: f.Priority, Packet: slices.Clone(f.Payload),
		Objective: time.Duration(f.ObjectiveMillis) * time.Millisecond,
		Deadline:  time.Duration(f.TimeoutMillis) * time.Millisecond,
	}
	item.Began = item.Attempt - time.Duration(f.AgeMillis)*time.Millisecond
	c.Counts.Held++
	c.frames[k] = o
	c.tell(k, f.Balancer)
	if evicted := c.waiting.Put(now, &item, c.pace()); evicted != nil {
		c.giveBack(now, "queueFull", evicted)
	}
}

// pace returns how fast the upstream serves at present.
func (c *Core) pace() queue.Pace {
	return queue.Pace{Work: c.table.Work(), Handshake: c.table.Handshake()}
}

// copyAges are the times after which a caller repeats its opening packet.
var copyAges = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// copyAge returns how old the attempt is that an opening packet belongs to.
func copyAge(p *flow.Packet) time.Duration { return copyAges[min(int(p.Acked), len(copyAges)-1)] }

const (
	// spareOpenings is how many flows wait at the upstream itself, so that the next
	// request is there when a slot becomes free.
	spareOpenings = 1
	// urgentOpenings is how many flows more than it has slots an upstream gets for
	// urgent requests, and at the most for others. Requests on flows that are open
	// already go straight to the upstream's own queue; without the difference urgent
	// ones on new flows would wait for all of them.
	urgentOpenings = 4
)

// free reports whether the upstream may get another flow. A flow takes a slot only
// once its request has come, a handshake later. As many flows more than slots are
// therefore admitted as there are requests on their way: otherwise slots stay empty
// while packets wait.
func (c *Core) free(now time.Duration, urgent bool) bool {
	slots := max(1, c.upstream.concurrency())
	spare := urgentOpenings
	if !urgent {
		p := c.pace()
		onTheWay := float64(slots) * float64(p.Handshake) / float64(max(p.Work, time.Millisecond))
		spare = min(spareOpenings+int(math.Ceil(onTheWay)), urgentOpenings)
	}
	return c.table.Busy(now) < slots+spare
}

// admit passes an opening packet to the upstream.
func (c *Core) admit(now time.Duration, k flow.Key, o *opening, packet []byte) {
	if c.table.Opening(now, k, o.frame.Balancer) == nil {
		c.Counts.Full++
		c.returnOpening(o, packet)
		return
	}
	c.Counts.Taken++
	waited := now - o.at
	c.Wait(waited)
	if c.Sample(waited >= slowWait) {
		p, _ := c.codec.Decode(packet) // It was decoded before it was taken.
		age := time.Duration(o.frame.AgeMillis)*time.Millisecond + copyAge(&p) + waited
		c.decision("flowAdmitted", k, "admitted", now).WithFields(logrus.Fields{
			"age": age, "waited": waited, "priority": o.frame.Priority, "balancer": o.frame.Balancer,
		}).Info("the upstream gets the flow")
	}
	o.at = now
	c.openings[k] = o
	c.upstream.ask(now)
	c.ToUpstream(packet)
}

// returnOpening gives an opening packet back to its balancer.
func (c *Core) returnOpening(o *opening, packet []byte) {
	f := o.frame
	f.Payload = packet
	c.refuse(&f)
}

// grant passes waiting packets on as far as there is room.
func (c *Core) grant(now time.Duration) {
	if c.waiting.Len() == 0 {
		return
	}
	if !c.upstream.accepts() || c.leaving || c.upstream.stalled(now) {
		c.giveBack(now, "upstreamClosed", c.waiting.Clear()...)
		return
	}
	for c.free(now, true) {
		i := c.waiting.Next(now, c.pace(), !c.free(now, false))
		if i == nil {
			break
		}
		o := c.frames[i.Key]
		delete(c.frames, i.Key)
		c.admit(now, i.Key, o, i.Packet)
	}
	for _, i := range c.waiting.Expired(now, c.pace()) {
		c.giveBack(now, string(i.Expired), i)
	}
}

// giveBack gives packets that waited in vain back to their balancers.
func (c *Core) giveBack(now time.Duration, reason string, items ...*queue.Item) {
	for _, i := range items {
		if c.Sample(true) {
			c.decision("openingGivenBack", i.Key, reason, now).WithField("age", now-i.Began).Info("opening packet waited in vain")
		}
		o := c.frames[i.Key]
		delete(c.frames, i.Key)
		o.frame.AgeMillis = uint16(min((now-i.Began)/time.Millisecond, math.MaxUint16))
		c.returnOpening(o, i.Packet)
	}
}

func (c *Core) refuse(f *frame.Frame) {
	c.Counts.Refused++
	f.Kind = frame.Refused
	c.send(f, f.Balancer)
}

// returnedOpening offers an opening packet that the upstream has no room for
// to the other candidates.
func (c *Core) returnedOpening(k flow.Key, b []byte) {
	o := c.openings[k]
	if o == nil {
		return
	}
	delete(c.openings, k)
	c.table.Drop(k)
	f := o.frame
	f.Payload = b
	if place.Decide(place.Load{Slots: 1, Closed: true}, &f) == admit.Forward {
		c.Counts.Forwarded++
		c.send(&f, f.Candidates[f.Position].Addr)
		return
	}
	c.refuse(&f)
}
