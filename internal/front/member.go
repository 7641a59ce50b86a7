package front

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// pingFactor is after how many offer timeouts an unanswered Ping marks an
	// agent as down: a busy VM has the time to answer.
	pingFactor = 2
	// minUsable is the share of a service's agents that answer, below which the
	// balancer takes its own link to be the reason.
	minUsable = 0.5
	// downInterval is the time between two Pings to an agent that is down.
	downInterval = 250 * time.Millisecond
	// lostTime is for how long an agent must be down until its flows are given
	// up: two more Pings have gone unanswered by then, and a processor quota
	// holds a process up for at most a tenth of a second.
	lostTime = 600 * time.Millisecond
	// returnTime is the same for an agent that said that it takes no new flows. It
	// may have been stopped as planned; the platform starts a process again after
	// half a second.
	returnTime = 2 * time.Second
	// pauseTime is how late a tick comes if the balancer did not run.
	pauseTime = 2 * tickInterval
	// forgetTime is after what time an agent that is down counts as gone: the
	// longest cut that an agent is expected to come back from.
	forgetTime = 20 * time.Second
)

// member is what the balancer knows of an agent from its own traffic.
type member struct {
	entry view.Entry
	// heard is when the agent last sent something.
	heard time.Duration
	// pinged is when the oldest unanswered Ping was sent; 0 if there is none.
	pinged time.Duration
	// downAt is when the agent was found to be down; 0 if it is not.
	downAt time.Duration
	// next is when an agent that is down is pinged again.
	next time.Duration
}

// group is the agents of one service.
type group struct {
	// usable may get new flows; all may hold flows.
	usable, all *route.Group
	// absent are agents that do not answer.
	absent []*member
}

type members struct {
	byAddr map[netip.AddrPort]*member
	groups map[frame.ServiceID]*group
	// checking counts the members with an unanswered Ping.
	checking int
}

var noGroup = group{usable: route.NewGroup(nil), all: route.NewGroup(nil)}

func (m *members) init() {
	m.byAddr = map[netip.AddrPort]*member{}
	m.groups = map[frame.ServiceID]*group{}
}

func (m *members) group(s frame.ServiceID) *group {
	if g := m.groups[s]; g != nil {
		return g
	}
	return &noGroup
}

// rebuild derives the members and groups from the view. An entry of the
// platform's list has no instance; it stands in only for an agent that has said
// nothing itself, not even that it is gone.
func (c *Core) rebuild() {
	m := &c.members
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
	for a, e := range newest {
		if old := m.byAddr[a]; old == nil {
			m.byAddr[a] = &member{entry: e}
		} else {
			old.entry = e
		}
	}
	for a := range m.byAddr {
		if _, ok := newest[a]; !ok {
			delete(m.byAddr, a)
		}
	}
	m.regroup(c.self.Place)
}

// supersedes reports whether entry e of an address counts instead of o.
func supersedes(e, o *view.Entry) bool {
	if listed := e.Key.Instance == 0; listed != (o.Key.Instance == 0) {
		return !listed
	}
	if (e.State == view.Gone) != (o.State == view.Gone) {
		return o.State == view.Gone
	}
	return e.Seq > o.Seq
}

// regroup derives the groups from the members.
func (m *members) regroup(own ident.PlaceName) {
	type lists struct {
		usable, all []route.Endpoint
		// serving are all agents that serve, whether they answer or not.
		serving []route.Endpoint
		absent  []*member
	}
	services := map[frame.ServiceID]*lists{}
	for a, b := range m.byAddr {
		id := frame.IDOf(b.entry.Service)
		l := services[id]
		if l == nil {
			l = &lists{}
			services[id] = l
		}
		// The instance is left out, so that the order does not change when an
		// agent starts again.
		e := route.Endpoint{ID: ident.EndpointID{Addr: a}, Weight: 1, Remote: b.entry.Place != own}
		if b.entry.State == view.Serving {
			l.serving = append(l.serving, e)
		}
		if b.downAt > 0 {
			l.absent = append(l.absent, b)
			continue
		}
		l.all = append(l.all, e)
		if b.entry.State == view.Serving {
			l.usable = append(l.usable, e)
		}
	}
	clear(m.groups)
	for id, l := range services {
		if float64(len(l.usable)) < minUsable*float64(len(l.serving)) {
			l.usable = l.serving
		}
		m.groups[id] = &group{usable: route.NewGroup(l.usable), all: route.NewGroup(l.all), absent: l.absent}
	}
}

// suspect pings an agent that did not answer an offer.
func (m *members) suspect(now time.Duration, a netip.AddrPort, c *Core) {
	b := m.byAddr[a]
	if b == nil || b.downAt > 0 || b.pinged > 0 {
		return
	}
	b.pinged = now
	m.checking++
	c.send(&frame.Frame{Kind: frame.Ping}, a)
}

// heard notes a sign of life.
func (c *Core) heard(now time.Duration, a netip.AddrPort) {
	b := c.members.byAddr[a]
	if b == nil {
		return
	}
	b.heard = now
	if b.pinged > 0 {
		b.pinged = 0
		c.members.checking--
	}
	if b.downAt > 0 {
		c.Log.WithField("event", "agentUp").WithField("agent", a).WithField("downFor", now-b.downAt).Info("agent answers again")
		b.downAt = 0
		c.members.regroup(c.self.Place)
	}
}

// down returns the number of agents that do not answer.
func (m *members) down() int {
	n := 0
	for _, b := range m.byAddr {
		if b.downAt > 0 {
			n++
		}
	}
	return n
}

// overdue reports whether the agent has not answered for so long that it is not
// expected to come back to its flows.
func (b *member) overdue(now time.Duration) bool {
	limit := lostTime
	if b.entry.State != view.Serving {
		limit = returnTime
	}
	return b.downAt > 0 && now-b.downAt >= limit
}

// lost reports whether the flows of an agent are given up.
func (m *members) lost(now time.Duration, a netip.AddrPort) bool {
	b := m.byAddr[a]
	return b != nil && b.overdue(now) && !m.group(frame.IDOf(b.entry.Service)).cutOff()
}

// cutOff reports whether so many agents do not answer that the balancer takes
// its own link to be the reason.
func (g *group) cutOff() bool {
	return float64(len(g.absent)) >= minUsable*float64(len(g.absent)+g.all.Len())
}

// awaited returns the number of agents that do not answer and may come back to
// their flows.
func (g *group) awaited(now time.Duration) int {
	if g.cutOff() {
		return len(g.absent)
	}
	n := 0
	for _, b := range g.absent {
		if !b.overdue(now) {
			n++
		}
	}
	return n
}

// noticePause restarts all waits for an answer after the balancer itself did
// not run for a while: the answers may lie unread in its sockets.
func (c *Core) noticePause(now time.Duration) {
	paused := now-c.ticked >= pauseTime
	c.ticked = now
	if !paused {
		return
	}
	for _, b := range c.members.byAddr {
		if b.pinged > 0 {
			b.pinged = now
		}
		if b.downAt > 0 {
			b.downAt = now
		}
	}
}

// tick marks agents that do not answer and pings those that are down.
func (m *members) tick(now time.Duration, c *Core) {
	changed := false
	for a, b := range m.byAddr {
		if b.pinged > 0 && now-b.pinged >= pingFactor*c.pending.timeout() {
			c.Log.WithField("event", "agentDown").WithField("agent", a).WithField("silentFor", now-b.heard).Warn("agent does not answer")
			b.pinged, b.downAt, b.next = 0, now, now
			m.checking--
			changed = true
		}
		if b.downAt > 0 && now >= b.next {
			b.next = now + downInterval
			c.send(&frame.Frame{Kind: frame.Ping}, a)
		}
		if b.downAt > 0 && now-b.downAt >= forgetTime {
			e := b.entry
			e.State = view.Gone
			c.adopt(now, []view.Item{{Entry: e}})
			c.Forgotten(a)
			return
		}
	}
	if changed {
		m.regroup(c.self.Place)
	}
}
