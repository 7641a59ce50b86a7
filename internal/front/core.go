// Package front is the balancer of datagram flows. It gives an opening packet
// to the agents, which decide who takes the flow, and sends later packets to
// the agent that holds it. It keeps no state that a flow depends on.
package front

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/rules"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// maxHints bounds the memory for hints: 64 octets each.
	maxHints = 1 << 16
	// hintLinger keeps a hint for the last acknowledgements of a flow: an
	// upstream repeats its end for up to 3 s.
	hintLinger = 3 * time.Second
	// maxOffered is the number of candidates of an opening packet.
	maxOffered = 6
	// maxNear is how many of them may be in the balancer's own place.
	maxNear = 4
)

// Self describes the balancer.
type Self struct {
	Name     string
	Instance ident.Instance
	Place    ident.PlaceName
	// Hop is the address that callers' packets arrive at, Peer the one for
	// messages of other processes (UDP) and for configurations (TCP).
	Hop, Peer netip.AddrPort
	// Seq is the version of the balancer's first entry; it is higher than that
	// of an earlier run.
	Seq ident.Seq
	// FlowLifetime is the longest time that a flow may last.
	FlowLifetime time.Duration
	// Seeds are addresses for messages of balancers that may be running.
	Seeds []netip.AddrPort
}

// Core decides what the balancer does with each datagram. It is not safe for
// concurrent use.
type Core struct {
	// ToAgent sends a datagram to an agent or to another balancer. The octets
	// are valid during the call only.
	ToAgent func(b []byte, to netip.AddrPort)
	// ToCaller sends a packet to a caller.
	ToCaller func(b []byte, caller netip.Addr)
	// Fetch begins to read the configuration of another balancer.
	Fetch func(from netip.AddrPort)
	// Forgotten is called with the address of an agent that has not answered for
	// so long that it counts as gone.
	Forgotten func(agent netip.AddrPort)
	// Answer takes the time from the first offer of a flow to its answer.
	Answer func(time.Duration)
	// Log takes changes of what the balancer believes. Sample reports whether one
	// more line about a single flow fits into the budget of failures or successes.
	Log    *logrus.Entry
	Sample func(failure bool) bool
	// Counts is what happened so far.
	Counts Counts

	self    Self
	codec   flow.Codec
	rules   *rules.Table
	hints   *flow.Hints
	members members
	view    *view.View
	pending pendings
	// retries bounds the offers that follow an unanswered one.
	retries    *budget.Budget
	rejections rejections
	isolation  isolation
	lookups    lookups
	trials     trials
	// started is when the balancer started, by the clock of now.
	started time.Duration
	stopped bool
	// listed is set once the platform's list of agents was read.
	listed bool
	// housekeeping is when it is due, ticked when Tick was last called.
	housekeeping, ticked time.Duration
	peers                peers
	out                  []byte
	frame                frame.Frame
	ids                  [route.MaxOrder]ident.EndpointID
	// packet is the one that the core works on; a local one would be allocated
	// for each call.
	packet flow.Packet
}

// Counts counts events.
type Counts struct {
	Opened, Carried, Foreign, NoRoute, NoUpstream, Retried, GivenUp, Refused, Missed, Walked, Lost, Reset uint64
}

// NewCore returns the core of a balancer that starts now.
func NewCore(now time.Duration, s Self, c flow.Codec) *Core {
	co := &Core{
		self:    s,
		codec:   c,
		hints:   flow.NewHints(s.FlowLifetime, hintLinger, maxHints),
		view:    view.New(),
		pending: pendings{byKey: map[flow.Key]*pending{}},
		lookups: lookups{byKey: map[flow.Key]*lookup{}},
		trials:  trials{},
		started: now,
		out:     make([]byte, 0, frame.MaxSize),
	}
	co.retries = budget.New(retryBudget, clockOf(now))
	co.isolation.alive(now)
	co.members.init()
	co.peers.init(now, s.Seeds)
	co.announceSelf(now, view.Serving)
	return co
}

// Rules returns the configuration in force; nil before the first one.
func (c *Core) Rules() *rules.Table { return c.rules }

// SetRules puts a configuration in force unless the one in force is as new.
func (c *Core) SetRules(t *rules.Table, source string) bool {
	if t.Generation() <= c.rules.Generation() {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"event": "configuration", "generation": t.Generation(), "before": c.rules.Generation(),
		"routes": t.Len(), "source": source,
	}).Info("configuration in force")
	c.rules = t
	return true
}

// FromCaller handles a datagram from the network of the callers.
func (c *Core) FromCaller(now time.Duration, b []byte) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(b); !ok || p.Returned {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if p.Opens() {
		c.open(now, k, p, b)
		return
	}
	c.carry(now, k, p, b)
}

// carry sends a packet of an open flow to its agent, or to the likeliest one.
func (c *Core) carry(now time.Duration, k flow.Key, p *flow.Packet, b []byte) {
	c.Counts.Carried++
	f := frame.Frame{Kind: frame.Data, Balancer: c.self.Peer, Payload: b}
	if h, ok := c.hints.Get(now, k, p.Fin || p.Rst); ok {
		if c.members.lost(now, h.Agent) {
			c.abandon(k, p, h.Agent)
			return
		}
		f.Hinted, f.Trials, f.Service = true, 1, frame.ServiceID(h.Service)
		c.send(&f, h.Agent)
		return
	}
	name, ok := c.rules.Service(k.Route(), k.Hash())
	if !ok {
		c.Counts.NoRoute++
		return
	}
	f.Service = frame.IDOf(name)
	g := c.members.group(f.Service)
	if n := g.all.Order(k.Hash(), maxNear, c.ids[:1]); n > 0 {
		c.lookups.begin(now, k, nil, []netip.AddrPort{c.ids[0].Addr})
		f.Trials = c.trials.allow(now, k, 1)
		c.send(&f, c.ids[0].Addr)
		return
	}
	c.lost(now, k, p, false, nil)
}

// abandon resets a flow whose agent has ended without a word. Its caller then
// sends the request again on another flow, where that is allowed.
func (c *Core) abandon(k flow.Key, p *flow.Packet, agent netip.AddrPort) {
	r := c.rules.Route(k.Route())
	if p.Rst || r == nil || !r.Repeatable {
		return
	}
	c.hints.Drop(k, agent)
	c.Counts.Reset++
	c.reset(k, p)
	if c.Sample(true) {
		c.decision("flowAbandoned", k, "reset").WithFields(logrus.Fields{"agent": agent, "seq": p.Seq}).Info("agent of the flow does not answer")
	}
}

// missed looks for the agent of a flow after one has said that it does not hold it.
func (c *Core) missed(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	p, ok := c.codec.Decode(f.Payload)
	if !ok {
		c.Counts.Foreign++
		return
	}
	c.Counts.Missed++
	k := flow.KeyOf(p.From, p.To)
	c.hints.Drop(k, from)
	if f.Tried {
		c.trials.used(now, k)
	}
	asked := []netip.AddrPort{from}
	if len(f.Candidates) > 0 {
		asked = c.lookups.missed(k, f.Candidates)
	} else {
		c.lookups.missed(k, []frame.Candidate{{Addr: from}})
	}
	r := c.rules.Route(k.Route())
	if r == nil {
		c.Counts.NoRoute++
		return
	}
	w := c.nextWalk(k, r, asked)
	if len(w.agents) == 0 {
		c.lost(now, k, &p, f.Unsure, asked)
		return
	}
	c.Counts.Walked++
	c.lookups.begin(now, k, asked, w.agents)
	next := frame.Frame{
		Kind: frame.Walk, Service: w.service, Balancer: c.self.Peer, Unsure: f.Unsure, Payload: f.Payload,
		Trials: c.trials.allow(now, k, len(w.agents)),
	}
	for _, a := range w.agents {
		next.Candidates = append(next.Candidates, frame.Candidate{Addr: a})
	}
	c.send(&next, w.agents[0])
}

// lost resets a flow that no agent holds, so that its caller sends the request
// again on another flow. It does so only if every agent of the service was
// asked, because the flow of an agent that is down for a moment may still be open,
// and only where the request may be repeated: another one may have run, and its
// answer may still come. An agent that has started beside a running upstream is
// unsure.
func (c *Core) lost(now time.Duration, k flow.Key, p *flow.Packet, unsure bool, asked []netip.AddrPort) {
	c.Counts.Lost++
	r := c.rules.Route(k.Route())
	if p.Rst || r == nil {
		return
	}
	absent := 0
	for _, s := range r.Shares {
		service := frame.IDOf(s.Service)
		g := c.members.group(service)
		absent += g.awaited(now)
		if !c.oneWalk(r) {
			// A walk that was not noted has left out an unknown part.
			absent += len(c.members.unasked(service, asked))
		}
	}
	reset := r.Repeatable && c.settled(now) && absent == 0 && !unsure
	outcome := "dropped"
	if reset {
		outcome = "reset"
		c.Counts.Reset++
		c.reset(k, p)
	}
	if c.Sample(true) {
		c.decision("flowLost", k, outcome).WithFields(logrus.Fields{
			"seq": p.Seq, "size": p.Size, "repeatable": r.Repeatable, "settled": c.settled(now), "absentAgents": absent, "unsure": unsure,
		}).Info("no agent holds the flow")
	}
}

// decision begins the log line of a decision about a flow.
func (c *Core) decision(event string, k flow.Key, outcome string) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{
		"event": event, "flow": k, "outcome": outcome, "generation": c.rules.Generation(),
	})
}

// settleTime is after what time a balancer knows the agents if it could not
// read the platform's list: they announce themselves every second.
const settleTime = 3 * time.Second

// settled reports whether the balancer knows all agents.
func (c *Core) settled(now time.Duration) bool { return c.listed || now-c.started >= settleTime }

// Listed makes the agents of the platform's list known. Their own words go
// first: an entry of the list only stands in until the agent has announced itself.
func (c *Core) Listed(now time.Duration, agents []view.Entry) {
	var items []view.Item
	for _, e := range agents {
		if b := c.members.byAddr[e.Key.Hop]; b == nil {
			items = append(items, view.Item{Entry: e})
		}
	}
	c.listed = true
	c.adopt(now, items)
	c.retryHeld(now)
}

func (c *Core) reset(k flow.Key, p *flow.Packet) { c.ToCaller(c.codec.Reset(p), k.Caller().Addr()) }

func (c *Core) send(f *frame.Frame, to netip.AddrPort) {
	c.out = f.Append(c.out[:0])
	c.ToAgent(c.out, to)
}

// FromAgent handles a datagram of another process of the system.
func (c *Core) FromAgent(now time.Duration, b []byte, from netip.AddrPort) {
	f := &c.frame
	if !f.Parse(b) {
		c.Counts.Foreign++
		return
	}
	if c.isolation.alive(now) {
		c.Log.WithField("event", "reachable").WithField("from", from).Info("another process answers again")
	}
	c.heard(now, from)
	switch f.Kind {
	case frame.Taken:
		c.taken(now, f, from)
	case frame.Refused:
		c.refused(now, f, from)
	case frame.Missed:
		c.missed(now, f, from)
	case frame.Pong:
	case frame.Ping:
		c.send(&frame.Frame{Kind: frame.Pong}, from)
	case frame.Rejected:
		c.heardRejected(now, f)
	case frame.Announce, frame.Digest, frame.Entries, frame.Generation:
		c.gossip(now, f, from)
	default:
		c.Counts.Foreign++
	}
}

func (c *Core) taken(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	if len(f.Payload) != len(flow.Key{}) {
		c.Counts.Foreign++
		return
	}
	k := flow.Key(f.Payload)
	if o := c.pending.byKey[k]; o != nil && o.offers > 0 {
		c.pending.sample(now - o.began)
		c.Answer(now - o.began)
		if slow := o.offers > 1; c.Sample(slow) {
			c.decision("flowOpened", k, "taken").WithFields(logrus.Fields{
				"agent": from, "offers": o.offers, "took": now - o.began, "age": o.age, "tried": o.tried,
			}).Info("an agent has taken the flow")
		}
	}
	c.hints.Put(now, k, flow.Hint{Agent: from, Service: uint32(f.Service)})
	c.trials.found(k)
	c.pending.drop(k)
	c.lookups.end(k)
}

// Tick does what is due.
func (c *Core) Tick(now time.Duration) {
	c.noticePause(now)
	c.retryDue(now)
	c.checkLookups(now)
	if c.members.checking > 0 || now >= c.housekeeping {
		c.members.tick(now, c)
	}
	if now < c.housekeeping {
		return
	}
	c.housekeeping = now + tickInterval
	c.checkIsolation(now)
	c.hints.Sweep(now)
	c.trials.expire(now, c.self.FlowLifetime)
	c.exchange(now)
	c.fetchAhead(now)
}

// Due returns the time until Tick has something to do.
func (c *Core) Due(now time.Duration) time.Duration {
	d := min(c.pending.next(now), c.lookups.next(now), max(0, c.housekeeping-now))
	if c.members.checking > 0 {
		d = min(d, minOfferTimeout)
	}
	return d
}

// tickInterval is how often housekeeping is done.
const tickInterval = 250 * time.Millisecond
