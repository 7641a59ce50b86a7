package relay

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// healthInterval is the interval between ticks. It is well below
	// health.MaxTickGap, so that load on the machine does not look like a pause
	// of the process.
	healthInterval = 50 * time.Millisecond
	// scanTicks is the number of ticks between two scans of the data path's
	// records. The records hold timestamps, so a later scan loses nothing.
	scanTicks = 3
	// maxBrokenSessions is the capacity of the queue of broken agent sessions.
	maxBrokenSessions = 1024
)

// entryObject is the JSON form of the platform object of an endpoint or
// balancer.
type entryObject struct {
	view.Entry
	Writer string `json:"writer"`
}

// membership combines what the platform, peers, agents and the data path report
// about endpoints and balancers, and derives the routing table from it.
type membership struct {
	b     *Balancer
	node  *peer.Node
	start time.Time
	// urgent and routine request a rebuild from run; each holds at most one
	// signal.
	urgent, routine chan struct{}
	// brokenSessions queues the agents whose sessions broke.
	brokenSessions *ring.Ring[view.Key]

	mu     sync.Mutex
	health *health.Checker
	// tableInput is what the routing table was built from. It is replaced by
	// rebuild; mu guards it.
	tableInput tableInput
	// usableMarkedDown holds the usable endpoints that other balancers have
	// marked down. They stay usable only while this balancer's own liveness
	// evidence is recent.
	usableMarkedDown []view.Key
	assigned         probeAssignment
	ticks            int
	// objects holds the known platform objects by kind and name.
	objects map[plat.Kind]map[string]object
	cleaner cleaner
}

// object is what is remembered of the platform object of an entry.
type object struct {
	key     view.Key
	version plat.Version
	place   ident.PlaceName
}

func newMembership(b *Balancer, o peer.NodeOptions) *membership {
	m := &membership{
		b:              b,
		start:          time.Now(),
		urgent:         make(chan struct{}, 1),
		routine:        make(chan struct{}, 1),
		brokenSessions: ring.New[view.Key](maxBrokenSessions),
		health:         health.New(rand.Float64),
		objects:        map[plat.Kind]map[string]object{plat.KindEndpoint: {}, plat.KindBalancer: {}},
	}
	o.OnView = m.requestRebuild
	o.OnAgentBroken = func(k view.Key) { m.brokenSessions.Put(k) }
	m.node = peer.NewNode(o)
	return m
}

// now returns the time since the membership was created.
func (m *membership) now() time.Duration { return time.Since(m.start) }

// requestRebuild requests a rebuild of the routing table. An urgent one is for
// changes that make something unusable and is delayed less.
func (m *membership) requestRebuild(urgent bool) {
	c := m.routine
	if urgent {
		c = m.urgent
	}
	select {
	case c <- struct{}{}:
	default:
	}
}

// watch returns a function that follows the platform objects of a kind.
func (m *membership) watch(k plat.Kind) func(ctx context.Context) error {
	f := watcher{client: m.b.client, kind: k, interval: watchInterval, apply: func(l plat.List) { m.apply(k, l) }}
	return f.run
}

// apply merges the objects of a list or watch answer into the view. An object
// that is missing from a list is kept: the store may have been restored.
func (m *membership) apply(k plat.Kind, l plat.List) {
	var items []view.Item
	m.mu.Lock()
	for _, o := range l.Objects {
		if o.Deleted {
			if old, ok := m.objects[k][o.Name]; ok {
				items = append(items, m.goneItem(old.key)...)
				delete(m.objects[k], o.Name)
			}
			continue
		}
		var e entryObject
		if err := json.Unmarshal(o.Value, &e); err != nil || !e.valid(k) {
			m.b.objectsRefused.Add(1)
			continue
		}
		m.objects[k][o.Name] = object{e.Key, o.Version, e.Place}
		items = append(items, view.Item{Entry: e.Entry})
	}
	m.mu.Unlock()
	m.node.Merge(items...)
}

// valid reports whether the object can be an entry of the given kind.
func (e *entryObject) valid(k plat.Kind) bool {
	return e.Key.Hop.Addr().Is4() && e.Key.Hop.Port() != 0 && e.Seq > 0 &&
		e.Key.IsBalancer() == (k == plat.KindBalancer) &&
		(!e.Key.IsBalancer() || e.Peer.Addr().Is4())
}

// goneItem returns the item that marks the known version of an entry as gone,
// if any.
func (m *membership) goneItem(k view.Key) []view.Item {
	e, ok := m.node.Get(k)
	if !ok || e.State == view.Gone {
		return nil
	}
	e.State = view.Gone
	return []view.Item{{Entry: e}}
}

// run handles ticks and rebuild requests until the context ends.
func (m *membership) run(ctx context.Context) error {
	tick := time.NewTicker(healthInterval)
	defer tick.Stop()
	var (
		p             rebuildSchedule
		due           <-chan time.Time
		evidenceTimer <-chan time.Time
	)
	for {
		select {
		case <-tick.C:
			if m.tick() {
				p.request(true)
			}
		case <-m.urgent:
			p.request(true)
		case <-m.routine:
			p.request(false)
		case <-due:
		case <-evidenceTimer:
			var ended bool
			if ended, evidenceTimer = m.checkEvidence(); ended {
				p.request(true)
				evidenceTimer = nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		begin := time.Now()
		if !p.pending {
			continue
		}
		if wait := p.due.Sub(begin); wait > 0 {
			due = time.After(wait)
			continue
		}
		m.rebuild()
		p.finished(begin, time.Now())
		due = nil
		_, evidenceTimer = m.checkEvidence()
	}
}

// checkEvidence reports whether the routing table must be rebuilt because this
// balancer's own liveness evidence for an endpoint has expired. The channel
// fires when to check again; it is nil if there is nothing to check.
func (m *membership) checkEvidence() (bool, <-chan time.Time) {
	ended, after := m.evidenceExpired()
	if after < 0 && !ended {
		return false, nil
	}
	return ended, time.After(max(after, 0))
}

// tick runs one round of health checking: it processes observations, sends the
// probes that are due and publishes the verdicts. It reports whether the routing
// table must be rebuilt.
func (m *membership) tick() bool {
	now := m.now()
	m.mu.Lock()
	events := m.collectEvents(now)
	a := m.health.Tick(now)
	events = append(events, a.Events...)
	for _, k := range a.Probe {
		if e, ok := m.tableInput.entries[k]; ok {
			m.b.sendProbe(k.Endpoint(), ident.TagOf(e.Service))
			m.health.ProbeSent(m.now(), k)
		}
	}
	pauses := m.health.Pauses()
	m.mu.Unlock()
	m.publishVerdicts(events)
	m.cleaner.resetAfterPause(pauses)
	return len(events) > 0
}

// collectEvents passes queued probe answers and broken sessions to the health
// checks, and every scanTicks ticks the data path's records. The caller holds
// mu.
func (m *membership) collectEvents(now time.Duration) []health.Event {
	var events []health.Event
	for range m.b.probeEvents.Len() {
		h := <-m.b.probeEvents.Items()
		k, ok := m.tableInput.byHop[h.From]
		if ok {
			events = append(events, m.health.Answer(now, k, h.Instance, h.State == stateDraining)...)
		}
	}
	for range m.brokenSessions.Len() {
		m.health.SessionBroken(now, <-m.brokenSessions.Items())
	}
	if m.ticks++; m.ticks%scanTicks == 0 {
		events = append(events, m.scanAgentStats(now)...)
	}
	return events
}

// scanAgentStats passes the data path's records of all agents to the health
// checks. The caller holds mu.
func (m *membership) scanAgentStats(now time.Duration) []health.Event {
	var events []health.Event
	wallNow := time.Now().UnixNano()
	for a, s := range m.tableInput.stats {
		k := m.tableInput.byHop[a]
		events = append(events, m.reportHeard(now, wallNow, k, s)...)
		if since := s.unanswered.Load(); since != 0 {
			m.health.FlowsUnanswered(now, now-time.Duration(wallNow-since), k)
		}
	}
	return events
}

// reportHeard tells the health checks when the data path last received a packet
// from an endpoint. The caller holds mu.
func (m *membership) reportHeard(now time.Duration, wallNow int64, k view.Key, s *agentStat) []health.Event {
	at := s.lastHeard.Load()
	if at == 0 {
		return nil
	}
	return m.health.RecordPacket(now-time.Duration(wallNow-at), k)
}

// publishVerdicts logs this balancer's own verdicts on endpoints and publishes
// them as marks.
func (m *membership) publishVerdicts(events []health.Event) {
	var marks []view.Mark
	for _, e := range events {
		log := m.b.frame.Log.WithField("endpoint", e.Key)
		c := view.Clear
		switch e.Verdict {
		case health.Down:
			c = view.Down
			log.Warn("endpoint is down")
		case health.Refusing:
			c = view.Refusing
			log.Warn("endpoint takes no new work")
		case health.Up:
			log.Info("endpoint is up")
		case health.Gone:
			log.Warn("endpoint has been replaced")
		}
		marks = append(marks, view.Mark{Target: e.Key, Condition: c})
	}
	m.node.Mark(marks...)
	for _, e := range events {
		if held, ok := m.node.Get(e.Key); ok && e.Verdict == health.Gone {
			m.node.SetGone(held)
		}
	}
}
