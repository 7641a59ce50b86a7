package relay

import (
	"context"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// State is the state dump of a balancer.
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

// EndpointState is an endpoint as the balancer sees it.
type EndpointState struct {
	view.Entry
	// Usable is true when the endpoint takes new flows.
	Usable bool `json:"usable"`
}

// State returns the current state dump.
func (b *Balancer) State() State {
	st := State{
		Name:          b.settings.Name,
		State:         b.views.node.Self().State,
		Configuration: b.conf.Load(),
		Root:          b.views.node.Root(),
		Peers:         b.views.node.State(),
		Counts:        b.counts.values(),
		Control:       b.control(),
	}
	entries := b.views.node.Entries()
	b.views.mu.Lock()
	defer b.views.mu.Unlock()
	for _, e := range entries {
		if e.Key.IsBalancer() {
			st.Balancers = append(st.Balancers, e)
		} else {
			st.Endpoints = append(st.Endpoints, EndpointState{e, b.views.current.usable[e.Key]})
		}
	}
	return st
}

func (b *Balancer) control() map[string]uint64 {
	c := &b.client.Calls
	b.views.mu.Lock()
	pauses := b.views.health.Pauses()
	b.views.mu.Unlock()
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
		"probeEventsLost":   b.events.Overflow(),
		"sessionEventsLost": b.views.broken.Overflow(),
	}
}

const reportInterval = time.Second

// reportControl passes the counters of the control plane to the metrics.
func (b *Balancer) reportControl(ctx context.Context) error {
	scope := b.frame.Scope.SubScope("control")
	t := time.NewTicker(reportInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for name, n := range b.control() {
				scope.Tagged(map[string]string{"count": name}).Gauge("total").Update(float64(n))
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
