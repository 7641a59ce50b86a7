package front

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// mergeItems merges items into the view and returns those that changed it.
func (c *Core) mergeItems(now time.Duration, items []view.Item) []view.Item {
	var news []view.Item
	for _, i := range items {
		if i.Key == c.ownKey() {
			c.reassertSelf(now, i)
			continue
		}
		if c.isEarlierRun(&i.Entry) {
			// Its version may be higher than that of this run, because versions begin
			// with the time of day and the clock of the VM may have jumped back.
			c.self.Seq = max(c.self.Seq, i.Seq+1)
			c.setOwnState(now, view.Serving)
			i.State = view.Gone
		}
		before, known := c.view.Get(i.Key)
		if known && c.isDisputed(now, &before, &i.Entry) {
			// The agent announces itself anew, with a higher version.
			c.sendItems([]view.Item{i}, i.Key.Hop)
			continue
		}
		if !c.view.Merge(now, i) {
			continue
		}
		news = append(news, i)
		if i.Key.IsBalancer() && i.State == view.Serving {
			news = append(news, c.retireEarlierRuns(now, &i.Entry)...)
		}
		if before.State != i.State {
			c.Log.WithFields(logrus.Fields{
				"event": "member", "member": i.Key, "service": i.Service, "place": i.Place,
				"state": i.State, "seq": i.Seq,
			}).Info("state of a process changed")
		}
	}
	if len(news) > 0 {
		c.introduce(now, news)
		c.updateAgents(now)
	}
	return news
}

// introduce sends the entry of a balancer that has just started to the balancers that it
// has learned of. They would otherwise pass on no news to it until they hear of it by
// digests, while callers' packets already arrive.
func (c *Core) introduce(now time.Duration, news []view.Item) {
	if now-c.started >= discoveryTime || c.stopped {
		return
	}
	self, _ := c.view.Item(now, c.ownKey())
	for _, i := range news {
		if i.Key.IsBalancer() && i.State == view.Serving && i.Peer != c.self.Peer {
			c.sendItems([]view.Item{self}, i.Peer)
		}
	}
}

// isEarlierRun reports whether an entry is of an earlier run of this balancer that does
// not count as gone.
func (c *Core) isEarlierRun(e *view.Entry) bool {
	own := c.ownKey()
	return e.Key.Name == own.Name && e.Key.Hop == own.Hop && e.Key.Instance != own.Instance && e.State != view.Gone && !c.stopped
}

// isDisputed reports whether another balancer has marked an agent as gone that this one
// hears. An agent that is gone by its own word has raised the version of its entry, and
// one that has started again has another entry, which may be gone too.
func (c *Core) isDisputed(now time.Duration, known, e *view.Entry) bool {
	if e.Key.IsBalancer() || e.State != view.Gone || known.State == view.Gone || e.Seq != known.Seq || !c.agents.hears(now, e.Key.Hop) {
		return false
	}
	return !slices.ContainsFunc(c.view.All(), func(o view.Entry) bool {
		return o.Key.Hop == e.Key.Hop && o.Key != e.Key && !o.Key.IsBalancer() && (o.State != view.Gone || o.Seq > e.Seq)
	})
}

// retireEarlierRuns marks earlier runs of a balancer as gone, since a process that
// was killed does not announce its end.
func (c *Core) retireEarlierRuns(now time.Duration, e *view.Entry) []view.Item {
	var news []view.Item
	for _, o := range c.view.Balancers() {
		if o.Key.Name == e.Key.Name && o.Key.Instance != e.Key.Instance && o.Seq < e.Seq && o.Key != c.ownKey() {
			o.State = view.Gone
			i := view.Item{Entry: o}
			if c.view.Merge(now, i) {
				news = append(news, i)
			}
		}
	}
	return news
}

// reassertSelf raises the version of the balancer's own entry if another process
// considers this balancer gone.
func (c *Core) reassertSelf(now time.Duration, i view.Item) {
	if i.Seq >= c.self.Seq && i.State != view.Serving && !c.stopped {
		c.self.Seq = i.Seq + 1
		c.setOwnState(now, view.Serving)
	}
}

// isPresentRun reports whether an agent that announces itself is the run at its address and
// others there are to be looked for: it is new, or another one is in use there. The latter
// may come from a balancer that was cut off for longer than tombstones are kept.
func (c *Core) isPresentRun(e *view.Entry) bool {
	stored, known := c.view.Get(e.Key)
	if !known {
		return true
	}
	st := c.agents.byAddr[e.Key.Hop]
	return stored == *e && st != nil && st.entry.Key != e.Key
}

// earlierRuns returns the entries of earlier processes at an agent's address,
// marked as gone.
func (c *Core) earlierRuns(k view.Key) []view.Item {
	var items []view.Item
	for _, e := range c.view.EntriesUnsorted() {
		if e.Key.Hop == k.Hop && e.Key != k && !e.Key.IsBalancer() {
			e.State = view.Gone
			items = append(items, view.Item{Entry: e})
		}
	}
	slices.SortFunc(items, func(a, b view.Item) int { return cmp.Compare(a.Key.Instance, b.Key.Instance) })
	return items
}
