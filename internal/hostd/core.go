// Package hostd implements the agent for datagram flows. An agent runs next to
// one upstream, decides which new flows the upstream accepts, and is
// authoritative for which flows the upstream holds.
package hostd

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/evac"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/place"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/queue"
	"github.com/bramleycourse/bramleycourse/internal/ramp"
	"github.com/bramleycourse/bramleycourse/internal/shed"
)

const (
	// maxFlows bounds the flow table. It covers the open connections of an
	// upstream and as many ended ones.
	maxFlows = 4096
	// maxWaiting bounds the opening packets that wait for a slot. If one more
	// arrives, the packet that would be served last is rejected. 64 is four times the
	// length of the upstream's own queue, which was 16; usually deadlines limit the
	// queue first.
	maxWaiting = 64
	// maxTrials bounds the number of trials kept in memory; each takes 200 bytes.
	maxTrials = 4096
	// openingTimeout is the time after which an opening packet counts as
	// unanswered. An upstream normally answers within a millisecond.
	openingTimeout = 300 * time.Millisecond
	// loadTimeConstant is the time constant of the moving average of the load.
	loadTimeConstant = time.Second
	// slowWait is the waiting time from which an admitted flow is logged with the
	// budget for failures.
	slowWait = 100 * time.Millisecond
	// tickInterval is the usual time between two runs of the periodic work.
	tickInterval = 250 * time.Millisecond
	// defaultIdle is the time without a packet after which a flow is removed from
	// the table.
	defaultIdle = 60 * time.Second
)

// CoreConfig holds the identity, addresses and settings of the agent.
type CoreConfig struct {
	Instance ident.Instance
	Place    ident.PlaceName
	// Service is the service from the settings. One that the upstream reports takes
	// precedence once it is confirmed.
	Service ident.ServiceName
	// Hop is the address that other processes send to. Upstream is the address of
	// the upstream on this VM.
	Hop, Upstream netip.AddrPort
	// Seq is the version of the first entry that the agent announces. It is higher
	// than any version of an earlier run.
	Seq ident.Seq
	// ReportInterval is the time between two reports of the upstream.
	ReportInterval time.Duration
	// StartedMillis is the start time of the agent in Unix milliseconds, by the
	// clock of the VM, which the upstream shares.
	StartedMillis int64
	// FlowLifetime is the maximum duration of a flow.
	FlowLifetime time.Duration
	// EvacuationLimit is the time within which the evacuation of a place must be in
	// force; 0 if places are not evacuated.
	EvacuationLimit time.Duration
	// LearnRoom makes the agent measure how many requests its upstream takes well at
	// once. RejectEarly makes it refuse requests at once that it cannot serve in time, and
	// report to balancers when it would answer new ones.
	LearnRoom, RejectEarly bool
	// Seeds are the peer addresses of balancers that may be running.
	Seeds []netip.AddrPort
}

// Core decides what the agent does with each datagram. It has no sockets and no
// clock, and is not safe for concurrent use.
type Core struct {
	// ToUpstream sends a packet to the upstream, ToCaller sends one to a caller,
	// and ToPeer sends a datagram to another process. The bytes are valid only
	// during the call.
	ToUpstream func(b []byte)
	ToCaller   func(b []byte, caller netip.Addr)
	ToPeer     func(b []byte, to netip.AddrPort)
	// FindBalancers starts reading the list of balancers from the platform.
	FindBalancers func()
	// UpdateListing starts writing the agent's entry to the platform's list of
	// agents, or removing it if the service is empty.
	UpdateListing func(service ident.ServiceName)
	// CheckListed starts checking whether the platform's list contains the agent.
	// If it does not, Unlisted is to be called.
	CheckListed func()
	// StoreEra returns the latest era of the platform's store that this process knows, and
	// HearEra is called with a later one that a balancer knows.
	StoreEra func() plat.Era
	HearEra  func(plat.Era)
	// RecordWait records how long an opening packet waited for a slot.
	RecordWait func(time.Duration)
	// Log is the log of the agent. Sample reports whether one more line about a
	// single flow fits into the log budget for failures or successes.
	Log    *logrus.Entry
	Sample func(failure bool) bool
	// Counts holds the event counters since the start.
	Counts Counts

	self     CoreConfig
	codec    flow.Codec
	table    *flow.Table
	upstream upstream
	// openings holds the opening packets that the upstream has not answered yet.
	openings map[flow.Key]*opening
	// waiting holds the opening packets that wait for a slot of the upstream, and
	// waitingOpenings the frames in which they arrived.
	waiting         *queue.Queue
	waitingOpenings map[flow.Key]*opening
	// trials holds the packets that were passed to the upstream although their
	// flow is not in the table. undecided are those that it may still return at once,
	// oldest first, and kept is the number of packets that wait in all of them.
	trials       map[flow.Key]*trial
	undecided    []*trial
	kept         int
	registration registration
	witness      witness
	handover     handover
	// evacuations are the evacuated places that the agent knows.
	evacuations evac.Set
	outcomes    outcomes
	// arrivals measures the new requests placed here, by urgency.
	arrivals [2]shed.Meter
	// reported are the kinds of request, by urgency, for which times are reported to
	// balancers: those of the latest requests that are not patient.
	reported [2]reportedKind
	// departures measures the answered requests.
	departures shed.Meter
	latency    latency
	learning   learning
	// meanBusy is a moving average of the load, last updated at meanBusyAt.
	meanBusy   float64
	meanBusyAt time.Duration
	started    time.Duration
	leaving    bool
	// nextTick is when Tick has to run next.
	nextTick time.Duration
	sendBuf  []byte
	frame    frame.Frame
	// packet holds the packet being handled. A local variable would be allocated
	// on the heap at each call.
	packet flow.Packet
}

// NewCore returns the core of an agent that starts at the time now.
func NewCore(now time.Duration, s CoreConfig, c flow.Codec) *Core {
	co := &Core{
		self:            s,
		codec:           c,
		table:           flow.NewTable(maxFlows),
		openings:        map[flow.Key]*opening{},
		waiting:         queue.New(maxWaiting),
		waitingOpenings: map[flow.Key]*opening{},
		trials:          map[flow.Key]*trial{},
		witness:         witness{},
		started:         now,
		meanBusyAt:      now,
		sendBuf:         make([]byte, 0, frame.MaxSize),
	}
	co.upstream.service, co.upstream.reportAt = s.Service, now
	co.upstream.promised = endpoint{s.Service, s.Upstream, s.Place}
	co.upstream.started, co.upstream.expected = now, s.ReportInterval
	co.upstream.ramp = ramp.New(now, max(s.ReportInterval, defaultReportInterval))
	co.reported = defaultKinds
	co.waiting.ByObjective = s.RejectEarly
	co.registration.init(now, s.Seeds)
	co.StoreEra, co.HearEra = func() plat.Era { return 0 }, func(plat.Era) {}
	return co
}

func (c *Core) send(f *frame.Frame, to netip.AddrPort) {
	c.sendBuf = f.Append(c.sendBuf[:0])
	c.ToPeer(c.sendBuf, to)
}

// FromPeer handles a datagram from a balancer or another agent.
func (c *Core) FromPeer(now time.Duration, b []byte, from netip.AddrPort) {
	f := &c.frame
	if !f.Parse(b) {
		c.Counts.Foreign++
		return
	}
	switch f.Kind {
	case frame.Offer, frame.Placed:
		c.handleOffer(now, f)
	case frame.Data, frame.Walk:
		c.handleFlowPacket(now, f)
	case frame.Query:
		c.handleQuery(now, f)
	case frame.Trial:
		c.handleTrial(now, f)
	case frame.Ping:
		c.send(&frame.Frame{Kind: frame.Pong}, from)
	case frame.Flows:
		c.handleFlows(now, f)
	case frame.Pong:
		c.witness.tell(from, true, c)
	case frame.Unheard:
		c.handleUnheard(now, f, from)
	case frame.Entries:
		c.registration.handleEntries(now, f.Payload, from, c)
	case frame.Evacuations:
		c.handleEvacuations(now, f, from)
	case frame.Era:
		c.handleEra(f)
	default:
		c.Counts.Foreign++
	}
}

// Load returns the present load of the upstream.
func (c *Core) Load(now time.Duration) place.Load {
	busy := c.table.Busy(now) + c.waiting.CountInTime(now, c.serviceTimes())
	share := min(1, float64(now-c.meanBusyAt)/float64(loadTimeConstant))
	c.meanBusy += (float64(busy) - c.meanBusy) * share
	c.meanBusyAt = now
	return place.Load{
		Slots:    c.capacity(now),
		Busy:     busy,
		MeanBusy: c.meanBusy,
		Delay:    c.delay(now, c.table.Work()),
		Closed:   !c.upstream.accepts() || c.upstream.stalled(now) || c.leaving || c.evacuated(),
		Failing:  c.outcomes.failing,
	}
}

// decisionLog returns a log entry with the fields common to decisions about a flow.
func (c *Core) decisionLog(event string, k flow.Key, outcome string, now time.Duration) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{
		"event": event, "flow": k, "outcome": outcome, "busy": c.table.Busy(now), "waiting": c.waiting.Len(),
		"work": c.table.Work(), "reportAge": now - c.upstream.reportAt,
	})
}

// sendTaken tells a balancer that this agent holds a flow.
func (c *Core) sendTaken(now time.Duration, k flow.Key, balancer netip.AddrPort) {
	if balancer.IsValid() && balancer.Port() != 0 {
		f := frame.Frame{Kind: frame.Taken, Service: c.upstream.id(), Payload: k[:]}
		if e := c.table.Get(k); e != nil {
			f.Open = e.Open()
			f.First, f.Answered = e.First()
		}
		c.addWaits(now, &f)
		c.send(&f, balancer)
	}
}

// handleFlowPacket handles a packet of an open flow.
func (c *Core) handleFlowPacket(now time.Duration, f *frame.Frame) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(f.Payload); !ok {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if e := c.table.FromCaller(now, k, p, f.Balancer); e != nil {
		if !f.Hinted {
			c.sendTaken(now, k, f.Balancer)
		}
		c.ToUpstream(f.Payload)
		return
	}
	unsure := f.Unsure
	if c.table.Get(k) == nil && c.markUnsure(now, k, f) && c.tryUpstream(now, k, f, unsure) {
		return
	}
	c.forwardMissed(f)
}

// forwardMissed passes a packet of an unknown flow on to the next agent of its
// walk, or returns it to the balancer.
func (c *Core) forwardMissed(f *frame.Frame) {
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
		c.upstream.noteReturned(now, p.Opens())
		c.handleReturned(now, p, b)
		return
	}
	k := flow.KeyOf(p.To, p.From)
	if t := c.trials[k]; p.Rst && c.upstream.refusing && t != nil {
		// The address resets a flow that ended with an earlier upstream. That is no
		// sign of a running one.
		t.returned = true
	} else if c.upstream.notePacket(now) {
		c.announceChange(now)
	}
	c.observeAnswer(now, k, p)
	was := c.table.Get(k)
	e := c.table.FromUpstream(now, k, p)
	if e == nil && !p.Rst && !p.Syn {
		e = c.recoverFlow(now, k, p)
	}
	if p.Syn && e != nil {
		c.noteAnswered(now, k, e, was)
	}
	c.ToCaller(b, p.To.Addr())
	c.admitWaiting(now)
}

// Due returns the time until Tick has to be called.
func (c *Core) Due(now time.Duration) time.Duration {
	return max(0, min(c.nextTick, c.nextDecision())-now)
}

// Tick does the periodic work: it removes old state, admits waiting packets, checks
// the upstream and announces the agent.
func (c *Core) Tick(now time.Duration) {
	c.decideTrials(now)
	if now < c.nextTick {
		return
	}
	c.nextTick = now + tickInterval
	if c.registration.answeredAt == c.started || c.leaving {
		c.nextTick = now + firstInterval
	}
	for k, o := range c.openings {
		if now-o.at >= openingTimeout {
			delete(c.openings, k)
			if e := c.table.Get(k); e != nil && !e.Answered() && !e.Open() {
				c.table.Drop(k)
			}
			c.Counts.Unanswered++
		}
	}
	c.checkTrials(now)
	c.table.Sweep(now, defaultIdle)
	c.noteWarmth(now)
	c.admitWaiting(now)
	c.logRoom(now)
	released := c.upstream.expireContender(now)
	if c.upstream.checkAlive(now, c.Log) || released {
		c.announceChange(now)
	}
	c.witness.expire(now, c)
	if c.leaving {
		c.LeaveFlows(now)
	}
	c.registration.tick(now, c)
}
