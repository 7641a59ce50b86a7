// Package admit decides at an agent which new flows it takes and which
// requests it runs, queues or refuses. It holds no sockets, goroutines or
// clocks.
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
	// Queue is the number of requests that wait for a slot.
	Queue int
	// Connections is the number of open flows.
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

// expectTime is how long an accepted flow counts as load before its first request.
const expectTime = time.Second

// Gate admits flows and requests at one agent. It is not safe for concurrent use.
type Gate struct {
	limits   Limits
	draining bool

	// running is the number of occupied slots. It exceeds limits.Slots only
	// after a change of the limits.
	running int
	// queue holds the waiting *Waiter values in order of arrival.
	queue list.List

	// connections is the number of open flows.
	connections int
	// opening and expected hold the times at which flows stop counting as
	// load: those taken and not yet open, and those open and without a request.
	// Both are in ascending order.
	opening, expected []time.Time

	recent recent

	memory memory
}

// Option changes a new Gate.
type Option func(*Gate)

// WithMemory bounds the number of remembered placement decisions.
func WithMemory(n int) Option {
	return func(g *Gate) { g.memory.limit = max(n, 1) }
}

// New returns a gate with the given limits.
func New(l Limits, opts ...Option) *Gate {
	g := &Gate{limits: l, memory: newMemory()}
	for _, o := range opts {
		o(g)
	}
	return g
}

// SetLimits changes the limits. It returns the waiters that it started.
// Requests that already run or wait keep their place when a limit shrinks.
func (g *Gate) SetLimits(now time.Time, l Limits) []*Waiter {
	g.fade(now)
	g.limits = l
	var started []*Waiter
	for w := g.startNext(now); w != nil; w = g.startNext(now) {
		started = append(started, w)
	}
	return started
}

// SetDraining says whether the agent hands on every new flow.
func (g *Gate) SetDraining(on bool) { g.draining = on }

// FlowOpened records that a flow that was taken is now open.
func (g *Gate) FlowOpened(now time.Time) {
	g.expire(now)
	g.connections++
	if len(g.opening) > 0 {
		g.expected = append(g.expected, g.opening[0])
		g.opening = g.opening[1:]
	}
}

// FlowRequested records the first request of an open flow. Flows are not told
// apart: it ends the oldest expectation, so a request that comes later than
// one second after its flow was taken may end that of another flow.
func (g *Gate) FlowRequested(now time.Time) {
	g.expire(now)
	if len(g.expected) > 0 {
		g.expected = g.expected[1:]
	}
}

// FlowClosed records that an open flow has ended.
func (g *Gate) FlowClosed(now time.Time) {
	g.expire(now)
	g.connections--
}

func (g *Gate) expire(now time.Time) {
	g.opening = dropUntil(g.opening, now)
	g.expected = dropUntil(g.expected, now)
}

func dropUntil(ts []time.Time, now time.Time) []time.Time {
	for len(ts) > 0 && !ts[0].After(now) {
		ts = ts[1:]
	}
	return ts
}

// load is the number of requests that run, wait or are expected.
func (g *Gate) load() int {
	return g.running + g.queue.Len() + len(g.opening) + len(g.expected)
}

// full says whether the agent is at its connection limit.
func (g *Gate) full() bool {
	return g.flows() >= g.limits.Connections
}

// flows is the number of flows that were taken and have not ended.
func (g *Gate) flows() int { return g.connections + len(g.opening) }

// Depth returns the load per slot that the agent reports to other agents.
func (g *Gate) Depth(now time.Time) encap.Depth {
	g.expire(now)
	if g.draining || g.full() {
		return encap.MaxDepth
	}
	return encap.Depth(min(g.load()*int(encap.DepthUnit)/max(g.limits.Slots, 1), int(encap.MaxDepth)-1))
}

// Stats describes a gate in a state dump.
type Stats struct {
	Running     int  `json:"running"`
	Queued      int  `json:"queued"`
	Expected    int  `json:"expected"`
	Connections int  `json:"connections"`
	Draining    bool `json:"draining"`
	// Remembered is the number of remembered placement decisions, and Forgotten
	// the number that were dropped early because the table was full.
	Remembered int    `json:"remembered"`
	Forgotten  uint64 `json:"forgotten"`
}

// Stats returns the current figures.
func (g *Gate) Stats(now time.Time) Stats {
	g.expire(now)
	return Stats{
		Running:     g.running,
		Queued:      g.queue.Len(),
		Expected:    len(g.opening) + len(g.expected),
		Connections: g.connections,
		Draining:    g.draining,
		Remembered:  len(g.memory.entries),
		Forgotten:   g.memory.forgotten,
	}
}
