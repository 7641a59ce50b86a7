package relay

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/health"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/view"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// current is what a routing table was built from; its maps are immutable.
type current struct {
	entries map[view.Key]view.Entry
	// byHop maps hop addresses to the endpoints there.
	byHop map[netip.AddrPort]view.Key
	stats map[netip.AddrPort]*agentStat
	// usable holds the endpoints that take new flows.
	usable map[view.Key]bool
	// foreign holds the endpoints outside the allowed networks.
	foreign map[view.Key]bool
}

// doubtful returns the usable endpoints that others have marked down.
func doubtful(c *current, marks map[view.Key]view.Condition) []view.Key {
	var ks []view.Key
	for k, mark := range marks {
		if mark == view.Down && c.usable[k] {
			ks = append(ks, k)
		}
	}
	return ks
}

// recheck reports whether own evidence of life has ended for an endpoint that
// others have marked down, and otherwise after which time it may.
func (m *membership) recheck() (ended bool, after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.doubtful) == 0 {
		return false, -1
	}
	now := m.now()
	wall := time.Now().UnixNano()
	after = time.Hour
	for _, k := range m.doubtful {
		// The endpoint is not down here, so this causes no event.
		m.heard(now, wall, k, m.current.stats[k.Hop])
		after = min(after, m.health.EvidenceEnd(k)-now)
	}
	return after <= 0, after
}

// assignment remembers which endpoints this balancer probes. It holds for one
// set of live balancers.
type assignment struct {
	hashes []uint64
	set    uint64
	probes map[view.Key]bool
}

// rebuild derives probing targets, data path records and the routing table
// from the view.
func (m *membership) rebuild() {
	entries, marks := m.node.Snapshot()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.assigned.update(m.live(entries, marks))
	next := current{
		entries: make(map[view.Key]view.Entry, len(entries)),
		byHop:   make(map[netip.AddrPort]view.Key, len(entries)),
		stats:   make(map[netip.AddrPort]*agentStat, len(entries)),
		usable:  make(map[view.Key]bool, len(entries)),
		foreign: map[view.Key]bool{},
	}
	targets := make(map[view.Key]bool, len(entries))
	self := m.node.Self().Key.Hash()
	for _, e := range entries {
		if e.Key.IsBalancer() {
			continue
		}
		if !m.b.inNetworks(e.Key.Hop.Addr()) {
			next.foreign[e.Key] = true
			m.refuse(e.Key)
			continue
		}
		next.entries[e.Key] = e
		next.byHop[e.Key.Hop] = e.Key
		next.stats[e.Key.Hop] = m.stat(e.Key.Hop)
		targets[e.Key] = m.assigned.probe(self, e.Key)
	}
	m.health.SetTargets(now, targets)
	for k, e := range next.entries {
		next.usable[k] = e.State == view.Serving && m.health.Usable(now, k, marks[k])
	}
	m.doubtful = doubtful(&next, marks)
	m.current = next
	m.b.stats.Store(&next.stats)
	m.b.table.Store(m.table())
}

// refuse counts and logs an endpoint outside the allowed networks when it is
// first seen. The caller holds the mutex.
func (m *membership) refuse(k view.Key) {
	if m.current.foreign[k] {
		return
	}
	m.b.endpointsRefused.Add(1)
	m.b.frame.Log.WithField("endpoint", k).Warn("endpoint is outside agentNetworks and gets no flows")
}

// live returns the balancers that probe endpoints: those neither draining nor
// marked down.
func (m *membership) live(entries []view.Entry, marks map[view.Key]view.Condition) []uint64 {
	own := m.node.Conditions()
	var hashes []uint64
	for _, e := range entries {
		k := e.Key
		if k.IsBalancer() && e.State == view.Serving && own[k] == view.Clear && marks[k] == view.Clear {
			hashes = append(hashes, k.Hash())
		}
	}
	return hashes
}

func (a *assignment) update(hashes []uint64) {
	set := uint64(len(hashes))
	for _, h := range hashes {
		set ^= h
	}
	if a.probes == nil || set != a.set {
		*a = assignment{hashes: hashes, set: set, probes: map[view.Key]bool{}}
	}
}

func (a *assignment) probe(self uint64, k view.Key) bool {
	p, known := a.probes[k]
	if !known {
		p = health.Assigned(self, k.Hash(), a.hashes)
		a.probes[k] = p
	}
	return p
}

// stat keeps the record of an address over rebuilds.
func (m *membership) stat(a netip.AddrPort) *agentStat {
	if s := m.current.stats[a]; s != nil {
		return s
	}
	return &agentStat{}
}

// table builds the routing table. If no serving endpoint of a service is
// usable, all of them are used: a wrong verdict on everything must not stop
// the service, and flows to dead endpoints are lost either way.
func (m *membership) table() *route.Table {
	w := newWeights(m.b.declaration(), ident.PlaceName(m.b.settings.Place))
	usable := map[ident.ServiceTag][]route.Endpoint{}
	rest := map[ident.ServiceTag][]route.Endpoint{}
	for k, e := range m.current.entries {
		if e.State != view.Serving {
			continue
		}
		tag := ident.TagOf(e.Service)
		r := route.Endpoint{ID: k.Endpoint(), Weight: w.of(e), Remote: w.remote(e.Place)}
		if m.current.usable[k] {
			usable[tag] = append(usable[tag], r)
		} else {
			rest[tag] = append(rest[tag], r)
		}
	}
	for tag, es := range rest {
		if len(usable[tag]) == 0 {
			usable[tag] = es
		}
	}
	return route.NewTable(usable)
}

// weights computes placement weights from a declaration.
type weights struct {
	region  string
	regions map[ident.PlaceName]string
	places  map[ident.ServiceName]map[string]float64
	groups  map[ident.ServiceName]map[string]float64
}

func newWeights(d *decl.Declaration, own ident.PlaceName) *weights {
	w := weights{
		regions: map[ident.PlaceName]string{},
		places:  map[ident.ServiceName]map[string]float64{},
		groups:  map[ident.ServiceName]map[string]float64{},
	}
	if d == nil {
		return &w
	}
	for _, p := range d.Places {
		w.regions[ident.PlaceName(p.Name)] = p.Region
	}
	w.region = w.regions[own]
	for _, s := range d.Services {
		places, groups := map[string]float64{}, map[string]float64{}
		for _, h := range s.Shares {
			if h.Place != "" {
				places[h.Place] = h.Weight
			} else {
				groups[h.Group] = h.Weight
			}
		}
		w.places[ident.ServiceName(s.Name)] = places
		w.groups[ident.ServiceName(s.Name)] = groups
	}
	return &w
}

// of returns the share of the endpoint's place times that of its group.
func (w *weights) of(e view.Entry) float64 {
	weight := 1.0
	if p, ok := w.places[e.Service][string(e.Place)]; ok {
		weight *= p
	}
	if g, ok := w.groups[e.Service][string(e.Group)]; ok {
		weight *= g
	}
	return weight
}

// remote reports whether a place is in another region than this balancer.
// Nothing is remote to a balancer whose own place is not declared.
func (w *weights) remote(p ident.PlaceName) bool {
	return w.region != "" && w.regions[p] != w.region
}

// own reports whether a place is known to be in this balancer's region.
func (w *weights) own(p ident.PlaceName) bool {
	return w.region != "" && w.regions[p] == w.region
}
