package hostd

import (
	"cmp"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/shed"
)

// reportedKind is a kind of request for which an agent reports its time to balancers.
type reportedKind struct {
	priority  uint8
	objective time.Duration
}

// defaultKinds are the kinds before the first request: one that is served last.
var defaultKinds = [2]reportedKind{
	shed.Normal: {math.MaxUint8, time.Minute},
	shed.Urgent: {1, time.Minute},
}

// maxHandshake limits the mean handshake time where requests are rejected early. After a
// cut link it is that of packets sent again, and all requests would seem to be too late.
const maxHandshake = 40 * time.Millisecond

// urgencyOf returns the urgency that a priority has in reports.
func urgencyOf(priority uint8) shed.Urgency {
	if queue.Urgent(priority) {
		return shed.Urgent
	}
	return shed.Normal
}

// noteArrival counts a request that is placed here for the first time. Further copies and
// attempts belong to requests that have been counted.
func (c *Core) noteArrival(now time.Duration, i *queue.Item) {
	if i.Began == now {
		c.arrivals[urgencyOf(i.Priority)].Add(now)
	}
}

// requestOf returns the times of the request of an opening packet.
func requestOf(now time.Duration, i *queue.Item) shed.Request {
	return shed.Request{Objective: i.Objective, Deadline: i.Deadline, Age: now - i.Began}
}

// load returns the load of the upstream as a new request sees it that has a priority and
// whose objective ends at a time.
func (c *Core) load(now time.Duration, priority uint8, end time.Duration) shed.Load {
	s := c.serviceTimes()
	urgent := c.arrivals[shed.Urgent].Rate(now)
	l := shed.Load{
		Ahead: c.waiting.CountAhead(now, s, priority, end), Waiting: c.waiting.CountInTime(now, s),
		Busy: c.table.Busy(now), Spent: s.Handshake + s.Work, Left: c.departures.Rate(now), Lead: s.LeadTime(),
		Arriving: urgent + c.arrivals[shed.Normal].Rate(now),
	}
	if !queue.Urgent(priority) {
		l.Before = urgent
	}
	return l
}

// refuseEarly returns an opening packet to its balancer if its request cannot be served
// in time. It does so only with the first copy of an attempt: another agent may hold the
// packet if its answer was lost.
func (c *Core) refuseEarly(now time.Duration, i *queue.Item, o *opening) bool {
	if !c.self.RejectEarly || i.Attempt < now {
		return false
	}
	f := &o.frame
	r := requestOf(now, i)
	r.Pressing, r.Again = f.Pressing, f.TrialsLeft > 0
	if !r.Patient() {
		c.reported[urgencyOf(f.Priority)] = reportedKind{f.Priority, r.Objective}
	}
	l := c.load(now, f.Priority, i.Began+cmp.Or(r.Objective, r.Deadline))
	if !l.Refuses(r) {
		return false
	}
	c.Counts.EarlyRefused++
	if c.Sample(true) {
		c.decisionLog("earlyRefused", i.Key, "refused", now).WithFields(logrus.Fields{
			"age": r.Age, "priority": f.Priority, "pressing": r.Pressing, "answerIn": l.Time(), "ahead": l.Ahead,
			"arriving": l.Arriving, "balancer": f.Balancer,
		}).Info("request cannot be served in time")
	}
	c.refuseOpening(now, o, i.Packet)
	return true
}

// addWaits adds to a Taken or Refused frame in which time a new request would be
// answered. A Refused frame still holds the times of the refused one.
func (c *Core) addWaits(now time.Duration, f *frame.Frame) {
	if !c.self.RejectEarly || f.Service != c.upstream.id() || !c.upstream.accepts() || c.leaving || c.upstream.stalled(now) || c.evacuated() {
		return
	}
	f.Waits = true
	f.ObjectiveMillis = c.waitMillis(now, shed.Normal)
	f.TimeoutMillis = c.waitMillis(now, shed.Urgent)
}

// waitMillis returns the time in which a new request of an urgency would be answered, in
// milliseconds; 0 if the upstream has room.
func (c *Core) waitMillis(now time.Duration, u shed.Urgency) uint16 {
	k, room := c.reported[u], queue.Normal
	if u == shed.Urgent {
		room = queue.UrgentInTime
	}
	if c.hasRoom(now, room) {
		return 0
	}
	return uint16(min(max(c.load(now, k.priority, now+k.objective).Time().Milliseconds(), 1), math.MaxUint16))
}
