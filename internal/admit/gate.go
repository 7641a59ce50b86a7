// Package admit decides at an agent which new flows it takes and which requests
// it runs, queues or refuses. It uses no sockets, goroutines or clocks.
package admit

import (
	"container/list"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// Limits bounds what an agent accepts.
type Limits struct {
	// Slots is the number of requests that run at once; at least 1.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
	// Connections is the number of flows that may be open.
	Connections int
	// Weight is the declared share of the upstream relative to the highest of
	// its service; 0 means 1.
	Weight float64
}

func (l Limits) weight() float64 {
	if l.Weight > 0 {
		return l.Weight
	}
	return 1
}

// firstRequestTimeout is how long an accepted flow without a request counts as
// load. The constant of the same name in package agent must match.
const firstRequestTimeout = time.Second

// Gate is the admission controller of one agent, for flows and requests. It is
// not safe for concurrent use.
type Gate struct {
	limits   Limits
	draining bool

	// running is the number of occupied slots. It exceeds limits.Slots only
	// after the limit was lowered.
	running int
	// queue holds the waiting *Waiter values in order of arrival.
	queue list.List

	// connections is the number of open flows.
	connections int
	// opening holds the accepted flows that are not open yet, and expected the
	// open flows without a request. The values are the times at which they stop
	// counting as load, in ascending order.
	opening, expected []time.Time

	recent recentLoad

	decisions decisionCache
}

// Option changes a new Gate.
type Option func(*Gate)

// WithCacheSize bounds the number of cached placement decisions.
func WithCacheSize(n int) Option {
	return func(g *Gate) { g.decisions.limit = max(n, 1) }
}

// New returns a gate with the given limits.
func New(l Limits, opts ...Option) *Gate {
	g := &Gate{limits: l, decisions: newDecisionCache()}
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetLimits changes the limits and returns the waiters that it started.
// Requests that already run or wait are not affected by lower limits.
func (g *Gate) SetLimits(now time.Time, l Limits) []*Waiter {
	g.decayLoad(now)
	g.limits = l
	var started []*Waiter
	for w := g.startNext(now); w != nil; w = g.startNext(now) {
		started = append(started, w)
	}
	return started
}

// SetDraining sets whether the agent is draining. A draining agent takes no new
// flow: it forwards the flow to another candidate, or refuses it if none can take
// it. A cached decision to take a flow still applies.
func (g *Gate) SetDraining(on bool) { g.draining = on }

// FlowOpened records that an accepted flow is now open.
func (g *Gate) FlowOpened(now time.Time) {
	g.expireFlows(now)
	g.connections++
	if len(g.opening) > 0 {
		g.expected = append(g.expected, g.opening[0])
		g.opening = g.opening[1:]
	}
}

// FlowRequested records the first request of an open flow. The gate does not
// tell flows apart: the call ends the oldest expectation, so a request later
// than firstRequestTimeout after its flow was accepted may end the expectation
// of another flow.
func (g *Gate) FlowRequested(now time.Time) {
	g.expireFlows(now)
	if len(g.expected) > 0 {
		g.expected = g.expected[1:]
	}
}

// FlowClosed records that an open flow has ended.
func (g *Gate) FlowClosed(now time.Time) {
	g.expireFlows(now)
	g.connections--
}

func (g *Gate) expireFlows(now time.Time) {
	g.opening = dropExpired(g.opening, now)
	g.expected = dropExpired(g.expected, now)
}

func dropExpired(ts []time.Time, now time.Time) []time.Time {
	for len(ts) > 0 && !ts[0].After(now) {
		ts = ts[1:]
	}
	return ts
}

// load returns the number of requests that run, wait or are expected.
func (g *Gate) load() int {
	return g.running + g.queue.Len() + len(g.opening) + len(g.expected)
}

// atConnectionLimit reports whether the agent can take no more flows.
func (g *Gate) atConnectionLimit() bool {
	return g.flowCount() >= g.limits.Connections
}

// flowCount returns the number of accepted flows that have not ended.
func (g *Gate) flowCount() int { return g.connections + len(g.opening) }

// Depth returns the load per slot, as the agent reports it to other agents.
func (g *Gate) Depth(now time.Time) encap.Depth {
	g.expireFlows(now)
	if g.draining || g.atConnectionLimit() {
		return encap.MaxDepth
	}
	return encap.Depth(min(g.load()*int(encap.DepthUnit)/max(g.limits.Slots, 1), int(encap.MaxDepth)-1))
}

// Stats is the part of a state dump about a gate.
type Stats struct {
	Running     int  `json:"running"`
	Queued      int  `json:"queued"`
	Expected    int  `json:"expected"`
	Connections int  `json:"connections"`
	Draining    bool `json:"draining"`
	// Remembered is the number of cached placement decisions. Forgotten is the
	// number of decisions that were evicted before their end because the cache
	// was full.
	Remembered int    `json:"remembered"`
	Forgotten  uint64 `json:"forgotten"`
}

// Stats returns the current statistics.
func (g *Gate) Stats(now time.Time) Stats {
	g.expireFlows(now)
	return Stats{
		Running:     g.running,
		Queued:      g.queue.Len(),
		Expected:    len(g.opening) + len(g.expected),
		Connections: g.connections,
		Draining:    g.draining,
		Remembered:  len(g.decisions.entries),
		Forgotten:   g.decisions.evicted,
	}
}
