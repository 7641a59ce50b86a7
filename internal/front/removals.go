package front

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/roster"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// minRemovalRetry and maxRemovalRetry bound the time between two tries to remove an
	// agent's entry from the platform's list. A longer one delays only the balancers that
	// start meanwhile.
	minRemovalRetry = time.Second
	maxRemovalRetry = 30 * time.Second
	// removalMemory is how long a balancer watches for a run of the agent after the
	// removal of its entry. A run writes its entry before its second announcement at the
	// earliest, and a balancer hears of the first within a second.
	removalMemory = 5 * time.Second
)

// removals holds the removals from the platform's list that were sent, by the agent's
// address. A run of the agent that has started since may have found the old entry and
// kept it, so it is told to write it again. The version of the entry then differs from
// that in the condition of the removal, whether or not that is still to be carried out.
type removals map[netip.AddrPort]*removal

type removal struct {
	// at is when the removal was last sent, or ended.
	at time.Duration
	// told is the entry that the run had when it was last told; the zero value if it has
	// not been.
	told view.Entry
}

// note records that a removal is sent.
func (r removals) note(now time.Duration, agent netip.AddrPort) {
	if r[agent] == nil {
		r[agent] = &removal{}
	}
	r[agent].at = now
}

// end records that the tries to remove the entry of an agent have ended.
func (r removals) end(now time.Duration, agent netip.AddrPort) {
	if r[agent] != nil {
		r[agent].at = now
	}
}

// due returns the entry of the run that is to be told now that it counts as gone. current
// returns the entry of the run at an address, if there is one.
func (r removals) due(now time.Duration, current func(netip.AddrPort) (view.Entry, bool)) []view.Entry {
	var due []view.Entry
	for _, a := range slices.SortedFunc(maps.Keys(r), netip.AddrPort.Compare) {
		m := r[a]
		e, ok := current(a)
		switch {
		case ok && e.Key == m.told.Key && e.Seq > m.told.Seq, !ok && now-m.at >= removalMemory:
			delete(r, a)
		case ok:
			m.told = e
			due = append(due, e)
		}
	}
	return due
}

// removes reports whether the balancer removes an agent that is gone from the platform's
// list. All balancers know each other, so that the one with the lowest address does. An
// agent that only the list named may have been loaded by this balancer alone.
func (c *Core) removes(agent *view.Entry) bool {
	return agent.Key.Instance == 0 || c.HasLowestAddr()
}

// runAt returns the entry of the run of an agent that has announced itself and has not
// ended.
func (c *Core) runAt(a netip.AddrPort) (view.Entry, bool) {
	st := c.agents.byAddr[a]
	if st == nil || st.entry.Key.Instance == 0 {
		return view.Entry{}, false
	}
	return st.entry, true
}

// checkRemovals tells agents whose entries may have been removed that they counted as
// gone. They announce themselves anew and write their entries again.
func (c *Core) checkRemovals(now time.Duration) {
	for _, e := range c.removals.due(now, c.runAt) {
		c.Log.WithFields(logrus.Fields{"event": "agentToldGone", "agent": e.Key, "seq": e.Seq}).Info("agent is told to write its platform entry again")
		e.State = view.Gone
		c.sendItems([]view.Item{{Entry: e}}, e.Key.Hop)
	}
}

// removeAgent removes an agent that is gone from the platform's list. It tries again until
// the entry is removed or written anew, an agent has announced itself at the address, or
// ctx ends; balancers that start would otherwise load the entry.
func (b *Balancer) removeAgent(ctx context.Context, agent view.Entry) {
	hop := agent.Key.Hop
	r := roster.Removal{Hop: hop}
	if agent.Key.Instance != 0 {
		r.Seq = agent.Seq
	}
	// confirm is called after the store was read, and this process may have paused.
	confirm := func() (ok bool) {
		b.loop.Do(func(now time.Duration) {
			if _, runs := b.core.runAt(hop); !runs {
				ok = true
				b.core.removals.note(now, hop)
			}
		})
		return ok
	}
	for retry := minRemovalRetry; ctx.Err() == nil; retry = min(2*retry, maxRemovalRetry) {
		done, err := b.tryRemoval(ctx, &r, confirm)
		if done {
			b.log.WithFields(logrus.Fields{"event": "removalEnded", "agent": hop, "instance": agent.Key.Instance, "removed": r.Removed}).Info("no platform entry of the ended agent is left to remove")
			break
		}
		b.log.WithError(err).WithFields(logrus.Fields{"event": "removeFailed", "agent": hop, "retryIn": retry}).Warn("failed to remove the platform entry of an agent")
		sleep(ctx, retry/2+rand.N(retry))
	}
	b.loop.Do(func(now time.Duration) { b.core.removals.end(now, hop) })
}

func (b *Balancer) tryRemoval(ctx context.Context, r *roster.Removal, confirm func() bool) (done bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return r.Try(ctx, b.store, confirm)
}
