// Package front implements the balancer of datagram flows. It offers the opening
// packet of a flow to the agents, which decide among themselves who takes the
// flow, and sends later packets to the agent that holds it. No flow depends on
// the balancer's state.
package front

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/rules"
	"github.com/bramleycourse/bramleycourse/internal/shed"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// maxHints bounds the memory for hints; each takes 180 bytes.
	maxHints = 1 << 16
	// hintLinger is how long a hint is kept for the last acknowledgements after
	// the end of a flow. An upstream retransmits its FIN for up to 3 s.
	hintLinger = 3 * time.Second
	// maxOfferCandidates is the maximum number of candidates in one offer of an
	// opening packet.
	maxOfferCandidates = 6
	// maxLocalCandidates is how many of them may be in the balancer's own place.
	maxLocalCandidates = 4
)

// CoreConfig holds the balancer's identity, addresses and limits.
type CoreConfig struct {
	Name     string
	Instance ident.Instance
	Place    ident.PlaceName
	// Hop receives callers' packets. Peer receives messages of other processes
	// (UDP) and serves configurations (TCP).
	Hop, Peer netip.AddrPort
	// Seq is the version of the balancer's first entry in the view. It is higher
	// than the versions of earlier runs.
	Seq ident.Seq
	// FlowLifetime is the maximum lifetime of a flow.
	FlowLifetime time.Duration
	// ConfigLimit is the time within which a change of the configuration on the
	// platform must be in force; defaultConfigLimit if it is 0.
	ConfigLimit time.Duration
	// EvacuationLimit is the time within which the evacuation of a place must be in
	// force; 0 if places are not evacuated.
	EvacuationLimit time.Duration
	// RejectEarly makes the balancer reject requests that no upstream can serve in time.
	RejectEarly bool
	// Seeds are the message addresses of balancers that may be running.
	Seeds []netip.AddrPort
	// Random is the source of random decisions; a source of its own if it is nil.
	Random *rand.Rand
}

// Core implements the balancer's logic without sockets and clocks: it decides
// what happens to each datagram. It is not safe for concurrent use.
type Core struct {
	// ToAgent sends a datagram to an agent or to another balancer. b is valid only
	// during the call.
	ToAgent func(b []byte, to netip.AddrPort)
	// ToCaller sends a packet to a caller.
	ToCaller func(b []byte, caller netip.Addr)
	// FetchConfig starts reading the configuration of another balancer.
	FetchConfig func(from netip.AddrPort)
	// InterruptWatch ends a watch call that waits for a change, because an answer of
	// the platform is overdue. WatchWait is then 0.
	InterruptWatch func()
	// InterruptEvacuationWatch is InterruptWatch for evacuations.
	InterruptEvacuationWatch func()
	// StoreEra returns the latest era of the platform's store that this process knows, and
	// HearEra is called with a later one that another process knows.
	StoreEra func() plat.Era
	HearEra  func(plat.Era)
	// OnAgentGone is called with the entry of an agent that has been down for
	// agentForgetTime and has been marked as gone.
	OnAgentGone func(agent view.Entry)
	// RecordAnswerTime records the time from the first offer of a flow to its answer.
	RecordAnswerTime func(time.Duration)
	// Log receives changes of the balancer's state. Sample reports whether the
	// log budget for failures or for successes allows one more line about a
	// single flow.
	Log    *logrus.Entry
	Sample func(failure bool) bool
	// Counts holds the event counters since the start.
	Counts Counts

	self  CoreConfig
	codec flow.Codec
	rules *rules.Table
	// limited holds the services of rules whose cold upstreams bear a limited rate.
	limited map[frame.ServiceID]rules.Service
	hints   *flow.Hints
	agents  agentTable
	view    *view.View
	pending pendingOpenings
	// retries limits the offers that are repeated after an unanswered one.
	retries *budget.Budget
	// urgentRetries does so for urgent requests; nil if all share one budget.
	urgentRetries *budget.Budget
	rejections    rejections
	// gate decides which requests are rejected at their first packet.
	gate      shed.Gate
	isolation isolation
	searches  searches
	// resetGuards are the conditions of a reset of an open flow.
	resetGuards []resetGuard
	trials      trials
	removals    removals
	kept        kept
	// started is when the balancer started, on the same clock as now.
	started time.Duration
	stopped bool
	// listRead is set once the platform's list of agents has been read.
	listRead bool
	// nextHousekeeping is when housekeeping is next due, lastTick when Tick was
	// last called.
	nextHousekeeping, lastTick time.Duration
	peers                      peerExchange
	confirmed                  confirmation
	evacuations                evacuations
	// toldEra is the latest era of the store that another process has told this one.
	toldEra plat.Era
	// out, frame and ids are buffers that are reused for each datagram.
	out   []byte
	frame frame.Frame
	ids   [route.MaxRanked]ident.EndpointID
	// packet is the packet being handled. A local variable would escape to the
	// heap on each call.
	packet flow.Packet
}

// NewCore returns the core of a balancer that starts at now.
func NewCore(now time.Duration, s CoreConfig, c flow.Codec) *Core {
	if s.Random == nil {
		s.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	co := &Core{
		self:        s,
		codec:       c,
		hints:       flow.NewHints(s.FlowLifetime, hintLinger, maxHints),
		view:        view.New(),
		pending:     pendingOpenings{byKey: map[flow.Key]*pendingOpening{}},
		trials:      trials{},
		removals:    removals{},
		kept:        kept{lists: map[netip.AddrPort]*keptList{}},
		rejections:  rejections{gap: retryGap},
		started:     now,
		resetGuards: resetGuards,
		out:         make([]byte, 0, frame.MaxSize),
	}
	co.retries = budget.New(retryBudget, budgetTime(now))
	if s.RejectEarly {
		co.rejections.gap = earlyRetryGap
		co.urgentRetries = budget.New(retryBudget, budgetTime(now))
	}
	co.InterruptWatch, co.InterruptEvacuationWatch = func() {}, func() {}
	co.StoreEra, co.HearEra = func() plat.Era { return 0 }, func(plat.Era) {}
	co.confirmed.init(now, s.Random, plat.KindConfig, cmp.Or(s.ConfigLimit, defaultConfigLimit), meanWatchInterval)
	co.evacuations.confirmed.init(now, s.Random, plat.KindEvacuation, s.EvacuationLimit, s.EvacuationLimit/evacuationPolls)
	co.isolation.markAgent(now)
	co.agents.init()
	co.searches.init()
	co.peers.init(now, s.Seeds)
	co.setOwnState(now, view.Serving)
	return co
}

// Rules returns the configuration in force; nil before the first one.
func (c *Core) Rules() *rules.Table { return c.rules }

// SetRules puts a configuration in force if it is newer than the current one, or completes
// it. It reports whether it did.
func (c *Core) SetRules(t *rules.Table, source string) bool {
	if t.Generation() <= c.rules.Generation() && !c.completes(t) {
		return false
	}
	c.Log.WithFields(logrus.Fields{
		"event": "configuration", "generation": t.Generation(), "before": c.rules.Generation(),
		"routes": t.Len(), "source": source, "limitedServices": len(t.Limited()),
	}).Info("configuration in force")
	for _, err := range t.Skipped() {
		c.Counts.SkippedServices++
		c.Log.WithError(err).WithFields(logrus.Fields{
			"event": "serviceSkipped", "generation": t.Generation(), "source": source,
		}).Warn("the warm-up of a service is not limited")
	}
	c.rules = t
	c.limited = map[frame.ServiceID]rules.Service{}
	for _, s := range t.Limited() {
		c.limited[frame.ServiceIDOf(s.Name)] = s
	}
	return true
}

// completes reports whether a configuration is the current one with the rates of cold
// upstreams. A balancer of an earlier version passes it on without them.
func (c *Core) completes(t *rules.Table) bool {
	return t.Generation() == c.rules.Generation() && len(c.limited) == 0 && len(t.Limited()) > 0
}

// FromCaller handles a datagram that arrived from the callers' network.
func (c *Core) FromCaller(now time.Duration, b []byte) {
	var ok bool
	p := &c.packet
	if *p, ok = c.codec.Decode(b); !ok || p.Returned {
		c.Counts.Foreign++
		return
	}
	k := flow.KeyOf(p.From, p.To)
	if p.Opens() {
		c.handleOpening(now, k, p, b)
		return
	}
	c.forward(now, k, p, b, false)
}

// decisionLog returns a log entry with the common fields of a decision about a
// flow.
func (c *Core) decisionLog(event string, k flow.Key, outcome string) *logrus.Entry {
	return c.Log.WithFields(logrus.Fields{
		"event": event, "flow": k, "outcome": outcome, "generation": c.rules.Generation(),
	})
}

// discoveryTime is how long after its start a balancer that could not read
// the platform's list, or has met no other balancer, is assumed to know all agents. Agents
// announce themselves every second.
const discoveryTime = 3 * time.Second

// AddListedAgents adds the agents of the platform's list. An agent's own announcement
// takes precedence: a listed entry is used only until the agent announces itself.
func (c *Core) AddListedAgents(now time.Duration, agents []view.Entry) {
	var items []view.Item
	for _, e := range agents {
		if st := c.agents.byAddr[e.Key.Hop]; st == nil {
			items = append(items, view.Item{Entry: e})
		}
	}
	c.listRead = true
	c.mergeItems(now, items)
	c.offerWaiting(now)
}

func (c *Core) reset(k flow.Key, p *flow.Packet) { c.ToCaller(c.codec.Reset(p), k.Caller().Addr()) }

func (c *Core) send(f *frame.Frame, to netip.AddrPort) {
	c.out = f.Append(c.out[:0])
	c.ToAgent(c.out, to)
}

// FromAgent handles a datagram from an agent or another balancer.
func (c *Core) FromAgent(now time.Duration, b []byte, from netip.AddrPort) {
	f := &c.frame
	if !f.Parse(b) {
		c.Counts.Foreign++
		return
	}
	c.markAlive(now, from)
	switch f.Kind {
	case frame.Taken:
		c.handleTaken(now, f, from)
	case frame.Refused:
		c.handleRefused(now, f, from)
	case frame.Missed:
		c.handleMissed(now, f, from)
	case frame.Pong:
	case frame.Ping:
		c.send(&frame.Frame{Kind: frame.Pong}, from)
	case frame.Rejected:
		c.handleRejected(now, f)
	case frame.Holding:
		c.handleHolding(now, f, from)
	case frame.Unheard:
		c.handleUnheard(now, f, from)
	case frame.Heard:
		c.handleHeard(now, f, from)
	case frame.Flows:
		c.handleFlows(now, f, from)
	case frame.Carry:
		c.handleCarry(now, f)
	case frame.Confirm:
		c.handleConfirm(now, f, from)
	case frame.Confirmed:
		c.handleConfirmed(now, f, from)
	case frame.Announce, frame.Digest, frame.Entries, frame.Generation, frame.Evacuations, frame.Era:
		c.handleGossip(now, f, from)
	default:
		c.Counts.Foreign++
	}
}

func (c *Core) handleTaken(now time.Duration, f *frame.Frame, from netip.AddrPort) {
	if len(f.Payload) != len(flow.Key{}) {
		c.Counts.Foreign++
		return
	}
	k := flow.Key(f.Payload)
	if f.Unsure {
		c.handleClaim(now, k, f, from)
		return
	}
	if o := c.pending.byKey[k]; o != nil && o.offerCount > 0 {
		c.pending.recordAnswer(now - o.firstOffered)
		c.RecordAnswerTime(now - o.firstOffered)
		if slow := o.offerCount > 1; c.Sample(slow) {
			c.decisionLog("flowOpened", k, "taken").WithFields(logrus.Fields{
				"agent": from, "offers": o.offerCount, "took": now - o.firstOffered, "age": o.age, "tried": o.tried,
			}).Info("an agent has taken the flow")
		}
	}
	c.noteTaken(now, k, f, from)
	c.pending.drop(k)
	h := flow.Hint{Agent: from, Service: uint32(f.Service), First: f.First, Answered: f.Answered, Confirmed: f.Open && !f.Unsure}
	if o := c.searches.byKey[k]; o != nil {
		c.endSearch(now, o, f, h)
		return
	}
	c.hints.Put(now, k, h)
	c.trials.forget(k)
}

// Tick runs the timers that have expired, and housekeeping when it is due.
func (c *Core) Tick(now time.Duration) {
	c.handlePause(now)
	if c.agents.untilRebuild(now) == 0 {
		c.updateAgents(now)
	}
	c.retryDue(now)
	c.checkSearches(now)
	if c.agents.pendingPings > 0 || now >= c.nextHousekeeping {
		c.agents.tick(now, c)
	}
	if now < c.nextHousekeeping {
		return
	}
	c.nextHousekeeping = now + tickInterval
	c.checkIsolation(now)
	c.checkRemovals(now)
	c.expireKept(now)
	c.releaseEvacuations(now)
	c.checkOverdue(now)
	c.hints.Sweep(now)
	c.trials.expire(now, c.self.FlowLifetime)
	c.exchangeView(now)
	c.fetchNewer(now)
}

// Due returns the time until Tick must be called next.
func (c *Core) Due(now time.Duration) time.Duration {
	d := min(c.pending.untilDeadline(now), c.searches.untilDeadline(now), c.agents.untilRebuild(now), max(0, c.nextHousekeeping-now))
	if c.agents.pendingPings > 0 {
		d = min(d, minOfferTimeout)
	}
	return d
}

// tickInterval is the time between two runs of housekeeping.
const tickInterval = 250 * time.Millisecond
