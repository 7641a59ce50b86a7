package front

import (
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// overdue reports whether the agent has been down for so long that it is not expected to resume
// its flows. Other balancers have said so, too, and agents have said that they do not hear it
// either: if one has heard it, and is gone, the silence that this balancer observes says nothing.
func (st *agentState) overdue(now time.Duration) bool {
	t := &st.testimony
	since := st.silentSince()
	return st.silentLong(now) && t.answeredAt >= since && t.agentAnsweredAt >= since && t.heardAt < st.downAt
}

// silentSince returns when the agent was last known to be heard by a process.
func (st *agentState) silentSince() time.Duration { return max(st.downAt, st.testimony.withdrawnAt) }

// silentLong reports whether the agent has been silent for longer than a restart takes, by what
// this balancer has heard of it. An agent that only others heard could not tell this one that it
// stops as planned.
func (st *agentState) silentLong(now time.Duration) bool {
	limit := flowLossDelay
	switch {
	case st.entry.Stopping, st.testimony.withdrawnAt > st.downAt:
		limit = stoppingLossDelay
	case st.entry.State != view.Serving:
		limit = drainingLossDelay
	}
	return st.downAt > 0 && now-st.silentSince() >= limit
}

// forgettable reports whether the agent counts as gone, since no balancer has heard it for
// agentForgetTime.
func (st *agentState) forgettable(now time.Duration) bool {
	t := &st.testimony
	return st.downAt > 0 && now-max(st.downAt, t.heardAt, t.withdrawnAt) >= agentForgetTime
}

// flowsLost reports whether the flows of an agent are given up.
func (t *agentTable) flowsLost(now time.Duration, a netip.AddrPort) bool {
	st := t.byAddr[a]
	return st != nil && st.overdue(now) && !t.group(frame.ServiceIDOf(st.entry.Service)).cutOff()
}

// cutOff reports whether so many agents are down that the balancer attributes it
// to its own network link.
func (g *group) cutOff() bool {
	return float64(len(g.unreachable)) >= minAnsweringShare*float64(len(g.unreachable)+g.all.Len())
}

// awaited returns the number of agents that are down and may resume their flows.
func (g *group) awaited(now time.Duration) int {
	if g.cutOff() {
		return len(g.unreachable)
	}
	n := 0
	for _, st := range g.unreachable {
		if !st.overdue(now) {
			n++
		}
	}
	return n
}
