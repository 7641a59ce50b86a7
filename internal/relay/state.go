package relay

import (
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/view"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// State is the state dump that a balancer's admin server returns.
type State struct {
	Name          string            `json:"name"`
	State         view.State        `json:"state"`
	Configuration *config.Accepted  `json:"configuration"`
	Endpoints     []EndpointState   `json:"endpoints"`
	Balancers     []view.Entry      `json:"balancers"`
	Root          uint64            `json:"root"`
	Peers         peer.State        `json:"peers"`
	Counts        map[string]uint64 `json:"counts"`
	Control       map[string]uint64 `json:"control"`
}

// EndpointState is the state dump of one endpoint.
type EndpointState struct {
	view.Entry
	// Usable is true if the endpoint serves and is considered healthy. New flows
	// go to usable endpoints, or to all serving endpoints of a service that has
	// no usable one. An endpoint of weight 0 gets none in either case.
	Usable bool `json:"usable"`
	// Evacuated is true if the endpoint's place is evacuated. Such an endpoint gets
	// no new flows.
	Evacuated bool `json:"evacuated,omitempty"`
}

// State returns the current state dump.
func (b *Balancer) State() State {
	st := State{
		Name:          b.settings.Name,
		State:         b.members.node.Self().State,
		Configuration: b.conf.Load(),
		Root:          b.members.node.Root(),
		Peers:         b.members.node.State(),
		Counts:        b.counts.values(),
		Control:       b.controlCounts(),
	}
	entries := b.members.node.Entries()
	d := b.declaration()
	b.members.mu.Lock()
	defer b.members.mu.Unlock()
	for _, e := range entries {
		if e.Key.IsBalancer() {
			st.Balancers = append(st.Balancers, e)
		} else {
			st.Endpoints = append(st.Endpoints, EndpointState{e, b.members.tableInput.usable[e.Key], d != nil && d.Evacuates(decl.PlaceName(e.Place))})
		}
	}
	return st
}

// controlCounts returns the counters of the control plane by name.
func (b *Balancer) controlCounts() map[string]uint64 {
	c := &b.client.Calls
	b.members.mu.Lock()
	pauses := b.members.health.Pauses()
	b.members.mu.Unlock()
	return map[string]uint64{
		"platformReads":     c.Reads.Load(),
		"platformWrites":    c.Writes.Load(),
		"platformWatches":   c.Watches.Load(),
		"platformFailures":  c.Failures.Load(),
		"configInvalid":     b.configInvalid.Load(),
		"configConflicts":   b.configConflicts.Load(),
		"objectsRefused":    b.objectsRefused.Load(),
		"endpointsRefused":  b.endpointsRefused.Load(),
		"pauses":            pauses,
		"probeEventsLost":   b.probeEvents.Overflow(),
		"sessionEventsLost": b.members.brokenSessions.Overflow(),
	}
}

// setMetrics sets the counters of packets and of the control plane.
func (b *Balancer) setMetrics() {
	for name, n := range b.counts.values() {
		b.frame.Total("packets", map[string]string{"outcome": name}, n)
	}
	for name, n := range b.controlCounts() {
		b.frame.Total("control_total", map[string]string{"count": name}, n)
	}
}
