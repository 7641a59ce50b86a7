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

// tableInput is what a routing table was built from. Its maps are immutable.
type tableInput struct {
	entries map[view.Key]view.Entry
	// byHop maps the hop addresses of endpoints to their keys.
	byHop map[netip.AddrPort]view.Key
	stats map[netip.AddrPort]*agentStat
	// usable holds the endpoints that serve and are considered healthy. If a
	// service has none, its other serving endpoints get its new flows.
	usable map[view.Key]bool
	// foreign holds the endpoints outside the agent networks.
	foreign map[view.Key]bool
}

// usableMarkedDown returns the usable endpoints that other balancers have
// marked down.
func usableMarkedDown(t *tableInput, marks map[view.Key]view.Condition) []view.Key {
	var ks []view.Key
	for k, mark := range marks {
		if mark == view.Down && t.usable[k] {
			ks = append(ks, k)
		}
	}
	return ks
}

// evidenceExpired reports whether this balancer's own liveness evidence has
// expired for an endpoint that others have marked down. If not, after is the
// time until it may expire, or negative if there is no such endpoint.
func (m *membership) evidenceExpired() (ended bool, after time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.usableMarkedDown) == 0 {
		return false, -1
	}
	now := m.now()
	wallNow := time.Now().UnixNano()
	after = time.Hour
	for _, k := range m.usableMarkedDown {
		// This balancer does not consider the endpoint down, so this returns no
		// event.
		m.reportHeard(now, wallNow, k, m.tableInput.stats[k.Hop])
		after = min(after, m.health.EvidenceEnd(k)-now)
	}
	return after <= 0, after
}

// probeAssignment caches which endpoints this balancer probes. It is valid for
// one set of live balancers.
type probeAssignment struct {
	hashes []uint64          // key hashes of the live balancers
	set    uint64            // hash of the set, independent of order
	probes map[view.Key]bool // cached results
}

// rebuild derives the probe targets, the data path's records and the routing
// table from the view.
func (m *membership) rebuild() {
	entries, marks := m.node.Snapshot()
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	m.assigned.update(m.probingBalancers(entries, marks))
	next := tableInput{
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
		if !m.b.inAgentNetworks(e.Key.Hop.Addr()) {
			next.foreign[e.Key] = true
			m.recordForeign(e.Key)
			continue
		}
		next.entries[e.Key] = e
		next.byHop[e.Key.Hop] = e.Key
		next.stats[e.Key.Hop] = m.agentStatOf(e.Key.Hop)
		targets[e.Key] = m.assigned.includes(self, e.Key)
	}
	m.health.SetTargets(now, targets)
	for k, e := range next.entries {
		next.usable[k] = e.State == view.Serving && m.health.Usable(now, k, marks[k])
	}
	m.usableMarkedDown = usableMarkedDown(&next, marks)
	m.tableInput = next
	m.b.stats.Store(&next.stats)
	m.b.table.Store(m.buildTable())
}

// recordForeign counts and logs an endpoint outside the agent networks when it
// is first seen. The caller holds mu.
func (m *membership) recordForeign(k view.Key) {
	if m.tableInput.foreign[k] {
		return
	}
	m.b.endpointsRefused.Add(1)
	m.b.frame.Log.WithField("endpoint", k).Warn("endpoint is outside agentNetworks and gets no flows")
}

// probingBalancers returns the key hashes of the balancers that probe
// endpoints: those that are serving and that neither this balancer nor others
// have marked.
func (m *membership) probingBalancers(entries []view.Entry, marks map[view.Key]view.Condition) []uint64 {
	ownConditions := m.node.Conditions()
	var hashes []uint64
	for _, e := range entries {
		k := e.Key
		if k.IsBalancer() && e.State == view.Serving && ownConditions[k] == view.Clear && marks[k] == view.Clear {
			hashes = append(hashes, k.Hash())
		}
	}
	return hashes
}

// update resets the cache if the set of live balancers has changed.
func (a *probeAssignment) update(hashes []uint64) {
	set := uint64(len(hashes))
	for _, h := range hashes {
		set ^= h
	}
	if a.probes == nil || set != a.set {
		*a = probeAssignment{hashes: hashes, set: set, probes: map[view.Key]bool{}}
	}
}

// includes reports whether the balancer with the hash self probes an endpoint.
func (a *probeAssignment) includes(self uint64, k view.Key) bool {
	p, known := a.probes[k]
	if !known {
		p = health.Assigned(self, k.Hash(), a.hashes)
		a.probes[k] = p
	}
	return p
}

// agentStatOf returns the data path's record of an agent's hop address. The
// record survives rebuilds.
func (m *membership) agentStatOf(a netip.AddrPort) *agentStat {
	if s := m.tableInput.stats[a]; s != nil {
		return s
	}
	return &agentStat{}
}

// buildTable builds the routing table.
func (m *membership) buildTable() *route.Table {
	d := m.b.declaration()
	w := newWeights(d, ident.PlaceName(m.b.settings.Place))
	choices := map[ident.ServiceTag]*choice{}
	for k, e := range m.tableInput.entries {
		if e.State != view.Serving {
			continue
		}
		tag := ident.TagOf(e.Service)
		c := choices[tag]
		if c == nil {
			c = &choice{}
			choices[tag] = c
		}
		r := route.Endpoint{ID: k.Endpoint(), Weight: w.endpointWeight(e), Remote: w.remote(e.Place)}
		c.add(r, d != nil && d.Evacuates(decl.PlaceName(e.Place)), m.tableInput.usable[k])
	}
	return tableOf(choices)
}

// weights computes the weights of endpoints for new flows from a declaration.
type weights struct {
	region  string // region of this balancer, empty if not declared
	regions map[ident.PlaceName]string
	// places and groups hold the declared weights by service and name.
	places map[ident.ServiceName]map[string]float64
	groups map[ident.ServiceName]map[string]float64
}

func newWeights(d *decl.Declaration, ownPlace ident.PlaceName) *weights {
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
	w.region = w.regions[ownPlace]
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

// endpointWeight returns the weight of the endpoint's place times the weight of
// its group. Either is 1 if it is not declared.
func (w *weights) endpointWeight(e view.Entry) float64 {
	weight := 1.0
	if p, ok := w.places[e.Service][string(e.Place)]; ok {
		weight *= p
	}
	if g, ok := w.groups[e.Service][string(e.Group)]; ok {
		weight *= g
	}
	return weight
}

// remote reports whether a place is not known to be in this balancer's region.
// If the balancer's own region is not known, it is false for all places. Otherwise
// a place whose region is not known counts as remote.
func (w *weights) remote(p ident.PlaceName) bool {
	return w.region != "" && w.regions[p] != w.region
}

// inOwnRegion reports whether a place is known to be in this balancer's region.
func (w *weights) inOwnRegion(p ident.PlaceName) bool {
	return w.region != "" && w.regions[p] == w.region
}
