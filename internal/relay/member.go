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
	// healthTick is well below health.MaxTickGap, so that a loaded machine does
	// not look like a pause.
	healthTick = 50 * time.Millisecond
	// scanTicks is the number of ticks between two looks at all records of the
	// data path. They carry their own times, so a later look loses nothing.
	scanTicks      = 3
	brokenSessions = 1024
)

// entryObject is the platform object of an endpoint or balancer.
type entryObject struct {
	view.Entry
	Writer string `json:"writer"`
}

// membership joins what the platform, peers, agents and the data path say
// about endpoints and balancers, and derives the routing table from it.
type membership struct {
	b     *Balancer
	node  *peer.Node
	start time.Time
	// urgent and routine wake the loop; each holds at most one signal.
	urgent, routine chan struct{}
	broken          *ring.Ring[view.Key]

	mu     sync.Mutex
	health *health.Health
	// current is what the routing table was built from; owned by the loop but
	// for State, which holds mu.
	current current
	// doubtful holds the endpoints that are usable only as long as this
	// balancer's own evidence of life is recent.
	doubtful []view.Key
	assigned assignment
	ticks    int
	// objects maps the names of platform objects of each kind to what they hold.
	objects map[plat.Kind]map[string]object
	cleaner cleaner
}

// object is a platform object of an entry.
type object struct {
	key     view.Key
	version plat.Version
	place   ident.PlaceName
}

func newMembership(b *Balancer, o peer.Options) *membership {
	m := &membership{
		b:       b,
		start:   time.Now(),
		urgent:  make(chan struct{}, 1),
		routine: make(chan struct{}, 1),
		broken:  ring.New[view.Key](brokenSessions),
		health:  health.New(rand.Float64),
		objects: map[plat.Kind]map[string]object{plat.KindEndpoint: {}, plat.KindBalancer: {}},
	}
	o.OnView = m.changed
	o.OnAgentBroken = func(k view.Key) { m.broken.Put(k) }
	m.node = peer.NewNode(o)
	return m
}

func (m *membership) now() time.Duration { return time.Since(m.start) }

// changed makes the loop rebuild the routing table.
func (m *membership) changed(urgent bool) {
	c := m.routine
	if urgent {
		c = m.urgent
	}
	select {
	case c <- struct{}{}:
	default:
	}
}

// watch returns a task that follows the platform objects of a kind.
func (m *membership) watch(k plat.Kind) func(ctx context.Context) error {
	f := follower{client: m.b.client, kind: k, interval: watchInterval, apply: func(l plat.List) { m.apply(k, l) }}
	return f.run
}

// apply takes over the objects of a list or watch answer. An object that is
// missing in a list says nothing: the store may have been restored.
func (m *membership) apply(k plat.Kind, l plat.List) {
	var items []view.Item
	m.mu.Lock()
	for _, o := range l.Objects {
		if o.Deleted {
			if old, ok := m.objects[k][o.Name]; ok {
				items = append(items, m.gone(old.key)...)
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

func (e *entryObject) valid(k plat.Kind) bool {
	return e.Key.Hop.Addr().Is4() && e.Key.Hop.Port() != 0 && e.Seq > 0 &&
		e.Key.IsBalancer() == (k == plat.KindBalancer) &&
		(!e.Key.IsBalancer() || e.Peer.Addr().Is4())
}

// gone returns the item that ends the version held of an entry.
func (m *membership) gone(k view.Key) []view.Item {
	e, ok := m.node.Get(k)
	if !ok || e.State == view.Gone {
		return nil
	}
	e.State = view.Gone
	return []view.Item{{Entry: e}}
}

// run is the loop of the membership.
func (m *membership) run(ctx context.Context) error {
	tick := time.NewTicker(healthTick)
	defer tick.Stop()
	var (
		p       pace
		due     <-chan time.Time
		evident <-chan time.Time
	)
	for {
		select {
		case <-tick.C:
			if m.tick() {
				p.ask(true)
			}
		case <-m.urgent:
			p.ask(true)
		case <-m.routine:
			p.ask(false)
		case <-due:
		case <-evident:
			var ended bool
			if ended, evident = m.evidence(); ended {
				p.ask(true)
				evident = nil
			}
		case <-ctx.Done():
			return ctx.Err()
		}
		begin := time.Now()
		if !p.wanted {
			continue
		}
		if wait := p.due.Sub(begin); wait > 0 {
			due = time.After(wait)
			continue
		}
		m.rebuild()
		p.rebuilt(begin, time.Now())
		due = nil
		_, evident = m.evidence()
	}
}

// evidence reports whether the routing table must be rebuilt because own
// evidence of life has ended, and when to ask again.
func (m *membership) evidence() (bool, <-chan time.Time) {
	ended, after := m.recheck()
	if after < 0 && !ended {
		return false, nil
	}
	return ended, time.After(max(after, 0))
}

// tick feeds the liveness decisions and carries out what they demand. It
// reports whether the routing table must be rebuilt.
func (m *membership) tick() bool {
	now := m.now()
	m.mu.Lock()
	events := m.observe(now)
	a := m.health.Tick(now)
	events = append(events, a.Events...)
	for _, k := range a.Probe {
		if e, ok := m.current.entries[k]; ok {
			m.b.sendProbe(k.Endpoint(), ident.TagOf(e.Service))
			m.health.Sent(m.now(), k)
		}
	}
	pauses := m.health.Pauses()
	m.mu.Unlock()
	m.act(events)
	m.cleaner.pauses(pauses)
	return len(events) > 0
}

// observe reports everything that waits to be read: answers, broken sessions
// and what the data path saw. The caller holds the mutex.
func (m *membership) observe(now time.Duration) []health.Event {
	var events []health.Event
	for range m.b.events.Len() {
		h := <-m.b.events.Items()
		k, ok := m.current.byHop[h.From]
		if ok {
			events = append(events, m.health.Answer(now, k, h.Instance, h.State == stateDraining)...)
		}
	}
	for range m.broken.Len() {
		m.health.SessionBroken(now, <-m.broken.Items())
	}
	if m.ticks++; m.ticks%scanTicks == 0 {
		events = append(events, m.scan(now)...)
	}
	return events
}

// scan reports what the data path saw. The caller holds the mutex.
func (m *membership) scan(now time.Duration) []health.Event {
	var events []health.Event
	wall := time.Now().UnixNano()
	for a, s := range m.current.stats {
		k := m.current.byHop[a]
		events = append(events, m.heard(now, wall, k, s)...)
		if since := s.unanswered.Load(); since != 0 {
			m.health.Unanswered(now, now-time.Duration(wall-since), k)
		}
	}
	return events
}

// heard reports when the data path last heard an endpoint. The caller holds
// the mutex.
func (m *membership) heard(now time.Duration, wall int64, k view.Key, s *agentStat) []health.Event {
	at := s.lastHeard.Load()
	if at == 0 {
		return nil
	}
	return m.health.Heard(now-time.Duration(wall-at), k)
}

// act passes on what this balancer itself found out about endpoints.
func (m *membership) act(events []health.Event) {
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
