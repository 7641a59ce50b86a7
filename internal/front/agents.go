package front

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// pingTimeoutFactor is the number of offer timeouts after which an unanswered
	// Ping marks an agent as down. It gives a busy VM time to answer.
	pingTimeoutFactor = 2
	// minAnsweringShare is the share of a service's serving agents below which the
	// balancer attributes missing answers to its own network link. It is also the
	// share of agents that are down from which on it does so.
	minAnsweringShare = 0.5
	// downPingInterval is the time between two Pings to an agent that is down.
	downPingInterval = 250 * time.Millisecond
	// flowLossDelay is how long an agent must be down before its flows are given
	// up. By then two more Pings have gone unanswered, and a CPU quota stalls a
	// process for at most 100 ms.
	flowLossDelay = 600 * time.Millisecond
	// drainingLossDelay replaces flowLossDelay for an agent that has announced that
	// it takes no new flows. It may be restarting as planned; the platform starts
	// a process again after 500 ms.
	drainingLossDelay = 2 * time.Second
	// stoppingLossDelay replaces it for an agent that has announced that it stops while its
	// upstream runs on. On a VM that is busy or slow it takes seconds to start again.
	stoppingLossDelay = 6 * time.Second
	// minPause is the time between two ticks from which on the balancer is assumed
	// not to have run in between.
	minPause = 2 * tickInterval
	// minRebuildInterval is the minimum time between two derivations of the agents from
	// the view, and rebuildTimePerAgent the time that each agent adds. After a restart
	// of everything each agent announces itself, and a derivation for each of 300
	// announcements would keep a small VM busy for more than a second.
	minRebuildInterval  = 5 * time.Millisecond
	rebuildTimePerAgent = 40 * time.Microsecond
	// maxAgentSilence is the time after the last datagram of an agent in which a balancer
	// does not believe another one that the agent is gone.
	maxAgentSilence = 3 * time.Second
	// agentForgetTime is how long an agent must be down before it counts as gone. It
	// is the longest network cut that an agent is expected to come back from.
	agentForgetTime = 20 * time.Second
)

// agentState is an agent's entry and what the balancer has observed of the agent
// in its own traffic.
type agentState struct {
	entry view.Entry
	// index is the number of the agent's run in sets of agents.
	index int
	// lastHeard is when the last datagram from the agent arrived.
	lastHeard time.Duration
	// heard is set once a datagram from the agent has arrived.
	heard bool
	// pingedAt is when the oldest unanswered Ping was sent; 0 if there is none.
	pingedAt time.Duration
	// downAt is when the agent was marked as down; 0 if it is up.
	downAt time.Duration
	// nextPing is when an agent that is down is pinged again.
	nextPing time.Duration
	// announcedAt is when the agent last announced itself to this balancer; 0 if it has not.
	announcedAt time.Duration
	// testimony is what other balancers say of an agent that is down. askers are those that
	// wait to be told whether this one hears it.
	testimony testimony
	askers    []netip.AddrPort
}

// group holds the agents of one service.
type group struct {
	// usable holds the agents that may get new flows: the serving ones that are up, or
	// all serving ones if fewer than minAnsweringShare of them are up. Agents that never
	// answered this balancer count only if there are no others. Agents of evacuated
	// places are in no case among them. all holds the agents in any state that are up;
	// those that are down may hold flows too.
	usable, all *route.EndpointSet
	// known holds all agents of the service, whether up or down.
	known *route.EndpointSet
	// reachable holds the addresses of the agents in all.
	reachable []netip.AddrPort
	// unreachable are the agents that are down.
	unreachable []*agentState
}

// agentTable holds the known agents by address, and grouped by service.
type agentTable struct {
	byAddr map[netip.AddrPort]*agentState
	groups map[frame.ServiceID]*group
	// byIndex holds the known agents at their index, reachable the indexes of those
	// that are up, and unreachable those that are down.
	byIndex     []*agentState
	reachable   agentSet
	unreachable []*agentState
	// known is the hash of the runs of the known agents.
	known rosterHash
	// pendingPings is the number of agents with an unanswered Ping that are not yet
	// marked as down.
	pendingPings int
	// stale is set if the view has changed since the last rebuild. The next one is
	// due at nextRebuild.
	stale       bool
	nextRebuild time.Duration
	// lastIndex is the highest index of an agent so far. freed holds the indexes of
	// agents that were removed, which are used again once no search knows them.
	lastIndex int
	freed     []freedIndex
	// isNewRun reports whether the process of an entry is another one than that of a key.
	isNewRun func(old *view.Entry, k view.Key) bool
}

var emptyGroup = group{usable: route.NewGroup(nil), all: route.NewGroup(nil), known: route.NewGroup(nil)}

func (t *agentTable) init() {
	t.byAddr = map[netip.AddrPort]*agentState{}
	t.groups = map[frame.ServiceID]*group{}
	t.isNewRun = func(old *view.Entry, k view.Key) bool { return old.Key != k }
}

func (t *agentTable) group(s frame.ServiceID) *group {
	if g := t.groups[s]; g != nil {
		return g
	}
	return &emptyGroup
}

// updateAgents rebuilds the agents after a change of the view, at once or when the
// next rebuild is due.
func (c *Core) updateAgents(now time.Duration) {
	t := &c.agents
	if now < t.nextRebuild {
		t.stale = true
		return
	}
	t.stale = false
	c.rebuildAgents(now)
	t.nextRebuild = now + max(minRebuildInterval, time.Duration(len(t.byAddr))*rebuildTimePerAgent)
	c.offerWaiting(now)
}

// untilRebuild returns the time until the next rebuild; tickInterval if none is
// needed.
func (t *agentTable) untilRebuild(now time.Duration) time.Duration {
	if !t.stale {
		return tickInterval
	}
	return max(0, t.nextRebuild-now)
}

// rebuildAgents derives the agents and groups from the view. An entry of the
// platform's list has no instance; it is used only for an agent that has announced
// nothing itself, not even that it is gone.
func (c *Core) rebuildAgents(now time.Duration) {
	t := &c.agents
	newest := map[netip.AddrPort]view.Entry{}
	for _, e := range c.view.All() {
		if e.Key.IsBalancer() {
			continue
		}
		if old, ok := newest[e.Key.Hop]; !ok || supersedes(&e, &old) {
			newest[e.Key.Hop] = e
		}
	}
	for a, e := range newest {
		if e.State == view.Gone {
			delete(newest, a)
		}
	}
	for _, a := range slices.SortedFunc(maps.Keys(newest), netip.AddrPort.Compare) {
		if old := t.byAddr[a]; old == nil {
			t.byAddr[a] = &agentState{entry: newest[a], index: t.newIndex(c.lastTick)}
			t.probe(now, a, c)
		} else {
			if t.isNewRun(&old.entry, newest[a].Key) {
				t.freed = append(t.freed, freedIndex{old.index, c.lastTick})
				old.index = t.newIndex(c.lastTick)
			}
			old.update(now, newest[a])
		}
		c.handBack(now, a, newest[a].Key.Instance)
	}
	for _, st := range t.sorted() {
		if _, ok := newest[st.entry.Key.Hop]; !ok {
			t.freed = append(t.freed, freedIndex{st.index, c.lastTick})
			delete(t.byAddr, st.entry.Key.Hop)
		}
	}
	t.known = hashOf(t.byAddr)
	t.regroup(c)
}

// update replaces the agent's entry. A new run of an agent that is down is asked at once,
// and has as long to answer as the earlier one had.
func (st *agentState) update(now time.Duration, e view.Entry) {
	if st.downAt > 0 && st.entry.Key.Instance != e.Key.Instance {
		st.downAt, st.nextPing = now, now
	}
	st.entry = e
}

// supersedes reports whether entry e takes precedence over entry o of the same
// address.
func supersedes(e, o *view.Entry) bool {
	if listed := e.Key.Instance == 0; listed != (o.Key.Instance == 0) {
		return !listed
	}
	if (e.State == view.Gone) != (o.State == view.Gone) {
		return o.State == view.Gone
	}
	return cmp.Or(cmp.Compare(e.Seq, o.Seq), cmp.Compare(e.Key.Instance, o.Key.Instance)) > 0
}

// sorted returns the known agents by index.
func (t *agentTable) sorted() []*agentState {
	return slices.SortedFunc(maps.Values(t.byAddr), func(a, b *agentState) int { return cmp.Compare(a.index, b.index) })
}

// regroup derives the groups from byAddr.
func (t *agentTable) regroup(c *Core) {
	type lists struct {
		usable, all, known []route.Endpoint
		// serving are the agents in state Serving outside evacuated places, whether up or
		// down. unheard are those that are down and never answered this balancer; they may
		// have ended long ago.
		serving, unheard []route.Endpoint
		// unreachable are the agents that are down.
		unreachable []*agentState
	}
	services := map[frame.ServiceID]*lists{}
	t.byIndex, t.reachable, t.unreachable = make([]*agentState, t.lastIndex+1), nil, nil
	for _, st := range t.sorted() {
		a := st.entry.Key.Hop
		id := frame.ServiceIDOf(st.entry.Service)
		l := services[id]
		if l == nil {
			l = &lists{}
			services[id] = l
		}
		// The instance is left out, so that a restart of an agent does not change
		// the order.
		e := route.Endpoint{ID: ident.EndpointID{Addr: a}, Weight: 1, Remote: st.entry.Place != c.self.Place}
		open := st.entry.State == view.Serving && !c.evacuations.set.Has(st.entry.Place)
		switch {
		case open && st.downAt > 0 && !st.heard:
			l.unheard = append(l.unheard, e)
		case open:
			l.serving = append(l.serving, e)
		}
		l.known = append(l.known, e)
		t.byIndex[st.index] = st
		if st.downAt > 0 {
			l.unreachable = append(l.unreachable, st)
			t.unreachable = append(t.unreachable, st)
			continue
		}
		t.reachable.add(st.index)
		l.all = append(l.all, e)
		if open {
			l.usable = append(l.usable, e)
		}
	}
	clear(t.groups)
	for id, l := range services {
		if float64(len(l.usable)) < minAnsweringShare*float64(len(l.serving)) {
			l.usable = l.serving
		}
		if len(l.usable) == 0 {
			l.usable = l.unheard
		}
		g := &group{usable: route.NewGroup(l.usable), all: route.NewGroup(l.all), unreachable: l.unreachable}
		g.known = g.all
		if len(l.unreachable) > 0 {
			g.known = route.NewGroup(l.known)
		}
		for _, e := range l.all {
			g.reachable = append(g.reachable, e.ID.Addr)
		}
		t.groups[id] = g
	}
}

// probe pings an agent that has not answered in time, unless it is already down
// or pinged.
func (t *agentTable) probe(now time.Duration, a netip.AddrPort, c *Core) {
	st := t.byAddr[a]
	if st == nil || st.downAt > 0 || st.pingedAt > 0 {
		return
	}
	st.pingedAt = now
	t.pendingPings++
	c.send(&frame.Frame{Kind: frame.Ping}, a)
}

// markAgentAlive records a datagram from an agent and marks the agent as up.
func (c *Core) markAgentAlive(now time.Duration, a netip.AddrPort) {
	st := c.agents.byAddr[a]
	if st == nil {
		return
	}
	st.lastHeard, st.heard = now, true
	c.answerAskers(st)
	if st.pingedAt > 0 {
		st.pingedAt = 0
		c.agents.pendingPings--
	}
	if st.downAt > 0 {
		c.Log.WithField("event", "agentUp").WithField("agent", a).WithField("downFor", now-st.downAt).Info("agent answers again")
		st.downAt = 0
		c.agents.regroup(c)
	}
}

// AgentCount returns the number of known agents, whether up or down.
func (c *Core) AgentCount() int { return len(c.agents.byAddr) }

// downCount returns the number of agents that are down.
func (t *agentTable) downCount() int {
	n := 0
	for _, st := range t.byAddr {
		if st.downAt > 0 {
			n++
		}
	}
	return n
}

// handlePause restarts the timeouts of all agents after the balancer itself did
// not run for a while, because answers may still be unread in its sockets.
func (c *Core) handlePause(now time.Duration) {
	paused := now-c.lastTick >= minPause
	c.lastTick = now
	if !paused {
		return
	}
	c.agents.restartTimeouts(now)
}

// restartTimeouts gives all agents that have not answered as much time again.
func (t *agentTable) restartTimeouts(now time.Duration) {
	for _, st := range t.byAddr {
		if st.pingedAt > 0 {
			st.pingedAt = now
		}
		if st.downAt > 0 {
			st.downAt = now
		}
	}
}

// hears reports whether an agent has lately sent a datagram to this balancer.
func (t *agentTable) hears(now time.Duration, a netip.AddrPort) bool {
	st := t.byAddr[a]
	return st != nil && st.downAt == 0 && now-st.lastHeard < maxAgentSilence
}

// tick marks agents that do not answer as down, pings those that are down, and
// removes an agent that has been down for agentForgetTime. An isolated balancer removes
// none, since it is the one that is out of reach.
func (t *agentTable) tick(now time.Duration, c *Core) {
	changed := false
	var silent []*agentState
	defer func() { c.askWitnesses(now, silent) }()
	for _, st := range t.sorted() {
		a := st.entry.Key.Hop
		if st.pingedAt > 0 && now-st.pingedAt >= pingTimeoutFactor*c.pending.timeout() {
			c.Log.WithField("event", "agentDown").WithField("agent", a).WithField("silentFor", now-st.lastHeard).Warn("agent does not answer")
			st.pingedAt, st.downAt, st.nextPing = 0, now, now
			t.pendingPings--
			changed = true
		}
		if st.downAt > 0 && now >= st.nextPing {
			st.nextPing = now + downPingInterval
			c.send(&frame.Frame{Kind: frame.Ping}, a)
			silent = append(silent, st)
		}
		if st.forgettable(now) && !c.isolation.isolated {
			e := st.entry
			e.State = view.Gone
			c.mergeItems(now, []view.Item{{Entry: e}})
			c.OnAgentGone(st.entry)
			return
		}
	}
	if changed {
		t.regroup(c)
	}
}
