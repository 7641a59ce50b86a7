// Package hostd is the agent of datagram flows. It runs beside one upstream,
// decides which new flows the upstream takes, and is the authority on which
// flows the upstream holds.
package hostd

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/queue"
)

const (
	// maxFlows bounds the flow table: the connections of an upstream and as many
	// that have ended.
	maxFlows = 4096
	// maxWaiting bounds the opening packets that wait for a slot: 16 were the
	// upstream's own queue, and the deadline bounds them first.
	maxWaiting = 64
	// maxTrials bounds the memory of packets passed to the upstream on trial.
	maxTrials = 1024
	// openingTimeout is after what time an opening packet counts as unanswered:
	// an upstream answers within a millisecond.
	openingTimeout = 300 * time.Millisecond
	// averageTime is the time constant of the mean load.
	averageTime = time.Second
	// slowWait is from what wait on the admission of a flow is logged like a failure.
	slowWait = 100 * time.Millisecond
	// tickInterval is how often housekeeping is done.
	tickInterval = 250 * time.Millisecond
	// defaultIdle is after what time without a packet a flow is forgotten.
	defaultIdle = 60 * time.Second
)

// Self describes the agent.
type Self struct {
	Instance ident.Instance
	Place    ident.PlaceName
	// Service is the service of the settings; the upstream's own word goes first.
	Service ident.ServiceName
	// Hop is the address that other processes send to, Upstream the one of the
	// upstream on this VM.
	Hop, Upstream netip.AddrPort
	// Seq is the version of the first entry; it is higher than that of an
	// earlier run.
	Seq ident.Seq
	// ReportInterval is how often the upstream reports.
	ReportInterval time.Duration
	// StartedMillis is when the agent started, in Unix milliseconds by the clock of
	// the VM, which the upstream uses too.
	StartedMillis int64
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// Seeds are addresses for messages of balancers that may be running.
	Seeds []netip.AddrPort
}

// Core decides what the agent does with each datagram. It is not safe for
// concurrent use.
type Core struct {
	// ToUpstream sends a packet to the upstream, ToCaller to a caller, ToPeer a
	// datagram to another process. The octets are valid during the call only.
	ToUpstream func(b []byte)
	ToCaller   func(b []byte, caller netip.Addr)
	ToPeer     func(b []byte, to netip.AddrPort)
	// FindBalancers begins to read the list of balancers from the platform.
	FindBalancers func()
	// Enlist begins to write the agent's entry to the platform's list of agents,
	// or to remove it if the service is empty.
	Enlist func(service ident.ServiceName)
	// CheckListed begins to find out whether the platform's list has the agent;
	// Unlisted takes the finding.
	CheckListed func()
	// Wait takes how long an opening packet waited for a slot.
	Wait func(time.Duration)
	// Log takes changes of what the agent believes. Sample reports whether one
	// more line about a single flow fits into the budget of failures or successes.
	Log    *logrus.Entry
	Sample func(failure bool) bool
	// Counts is what happened so far.
	Counts Counts

	self     Self
	codec    flow.Codec
	table    *flow.Table
	upstream upstream
	// openings are the opening packets that the upstream has not answered yet.
	openings map[flow.Key]*opening
	// waiting are the opening packets that wait for a slot of the upstream;
	// frames are the frames that brought them.
	waiting *queue.Queue
	frames  map[flow.Key]*opening
	// trials are packets that were passed to the upstream although the table
	// does not have their flow.
	trials       map[flow.Key]*trial
	registration registration
	outcomes     outcomes
	speed        speed
	mean         float64
	meanAt       time.Duration
	started      time.Duration
	leaving      bool
	// housekeeping is when it is due.
	housekeeping time.Duration
	out          []byte
	frame        frame.Frame
	// packet is the one that the core works on; a local one would be allocated
	// for each call.
	packet flow.Packet
}

// Counts counts events.
type Counts struct {
	Taken, Forwarded, Refused, Foreign, WrongService, Missed, Returned, Recovered, Tried, Reset, Unanswered, Full, Held, Broken uint64
}

// NewCore returns the core of an agent that starts now.
func NewCore(now time.Duration, s Self, c flow.Codec) *Core {
	co := &Core{
		self:     s,
		codec:    c,
		table:    flow.NewTable(maxFlows),
		openings: map[flow.Key]*opening{},
		waiting:  queue.New(maxWaiting),
		frames:   map[flow.Key]*opening{},
		trials:   map[flow.Key]*trial{},
		started:  now,
		meanAt:   now,
		out:      make([]byte, 0, frame.MaxSize),
	}
	co.upstream.service, co.upstream.beatAt = s.Service, now
	co.upstream.started, co.upstream.expected = now, s.ReportInterval
	co.registration.init(now, s.Seeds)
	return co
}

func (c *Core) send(f *frame.Frame, to netip.AddrPort) {
	c.out = f.Append(c.out[:0])
	c.ToPeer(c.out, to)
}

// FromPeer handles a datagram of another process of the system.
func (c *Core) FromPeer(now time.Duration, b []byte, from netip.AddrPort) {
	f := &c.frame
	if !f.Parse(b) {
		c.Counts.Foreign++
		return
	}
	switch f.Kind {
	case frame.Offer, frame.Placed:
		c.offered(now, f)
	case frame.Data, frame.Walk:
		c.carry(now, f)
	case frame.Ping:
		c.send(&frame.Frame{Kind: frame.Pong}, from)
	case frame.Entries:
		c.registration.answered(now, f.Payload, from, c)
	default:
		c.Counts.Foreign++
	}
}

// Load returns the load of the upstream.
func (c *Core) Load(now time.Duration) place.Load {
	busy := c.table.Busy(now) + c.waiting.InTime(now, c.pace())
	share := min(1, float64(now-c.meanAt)/float64(averageTime))
	c.mean += (float64(busy) - c.mean) * share
	c.meanAt = now
	return place.Load{
		Slots:   c.upstream.slots(now),
		Busy:    busy,
		Mean:    c.mean,
		Closed:  !c.upstream.accepts() || c.upstream.stalled(now) || c.leaving,
		Failing: c.outcomes.failing,
	}
}

// decision begins the log line of a decision about a flow.
func (c *Core) decision(event string, k flow.Key, outcome string, now time.Duration) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{
		"event": event, "flow": k, "outcome": outcome, "busy": c.table.Busy(now), "waiting": c.waiting.Len(),
		"work": c.table.Work(), "reportAge": now - c.upstream.beatAt,
	})
}

// tell tells a balancer that this agent holds a flow.
func (c *Core) tell(k flow.Key, balancer netip.AddrPort) {
	if balancer.IsValid() && balancer.Port() != 0 {
		c.send(&frame.Frame{Kind: frame.Taken, Service: c.upstream.id(), Payload: k[:]}, balancer)
	}
}

// carry handles a packet of an open flow.
func (c *Core) carry(now time.Duration, f *frame.Frame) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(f.Payload); !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if e := c.table.FromCaller(now, k, p, f.Balancer); e != nil {
		if !f.Hinted {
			c.tell(k, f.Balancer)
		}
		c.ToUpstream(f.Payload)
		return
	}
	before := f.Unsure
	if c.table.Get(k) == nil && c.mayHold(now, k, f) && c.try(now, k, f, before) {
		return
	}
	c.miss(f)
}

// miss passes a packet on to the next agent of its walk or returns it.
func (c *Core) miss(f *frame.Frame) {
	c.Counts.Missed++
	if f.Kind == frame.Walk && f.Position+1 < len(f.Candidates) {
		f.Position++
		c.send(f, f.Candidates[f.Position].Addr)
		return
	}
	if f.Kind == frame.Data {
		f.Candidates = nil
	}
	f.Kind = frame.Missed
	c.send(f, f.Balancer)
}

// FromUpstream handles a packet that the upstream sent.
func (c *Core) FromUpstream(now time.Duration, b []byte) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(b); !ok {
		c.Counts.Foreign++
		return
	}
	if p.Returned {
		c.upstream.asked = 0
		c.returned(now, p, b)
		return
	}
	if c.upstream.heard(now) {
		c.changed(now)
	}
	k := flow.KeyOf(p.To, p.From)
	c.judge(now, k, p)
	e := c.table.FromUpstream(now, k, p)
	if e == nil && !p.Rst && !p.Syn {
		e = c.recover(now, k, p)
	}
	if p.Syn && e != nil && c.openings[k] != nil {
		delete(c.openings, k)
		c.tell(k, e.Balancer)
	}
	c.ToCaller(b, p.To.Addr())
	c.grant(now)
}

// returned handles a packet that the upstream did not accept.
func (c *Core) returned(now time.Duration, p *flow.Packet, b []byte) {
	c.Counts.Returned++
	k := flow.KeyOf(p.From, p.To)
	c.codec.Forget(b)
	if p.Opens() {
		if !c.upstream.known && c.upstream.spoke == 0 && !c.upstream.down {
			// Something refuses flows there and has never served one.
			c.upstream.down = true
			c.changed(now)
		}
		c.returnedOpening(k, b)
		return
	}
	if t := c.trials[k]; t != nil && !t.back {
		t.back = true
		f := t.frame
		f.Payload, f.Trials, f.Unsure, f.Tried = b, f.Trials-1, t.unsure, true
		c.miss(&f)
		return
	}
	if e := c.table.Get(k); e != nil && e.Open() {
		// The upstream has lost the flow, so nobody holds it.
		c.table.Drop(k)
		c.Counts.Reset++
		c.ToCaller(c.codec.Reset(p), p.From.Addr())
	}
}

// Due returns the time until Tick has something to do.
func (c *Core) Due(now time.Duration) time.Duration { return max(0, c.housekeeping-now) }

// Tick does what is due.
func (c *Core) Tick(now time.Duration) {
	if now < c.housekeeping {
		return
	}
	c.housekeeping = now + tickInterval
	if c.registration.heard == c.started || c.leaving {
		c.housekeeping = now + firstInterval
	}
	for k, o := range c.openings {
		if now-o.at >= openingTimeout {
			delete(c.openings, k)
			if e := c.table.Get(k); e != nil && !e.Open() {
				c.table.Drop(k)
			}
			c.Counts.Unanswered++
		}
	}
	for k, t := range c.trials {
		if now-t.at >= c.self.FlowLifetime {
			delete(c.trials, k)
		}
	}
	c.table.Sweep(now, defaultIdle)
	c.grant(now)
	if c.upstream.check(now, c.Log) {
		c.changed(now)
	}
	c.registration.tick(now, c)
}
