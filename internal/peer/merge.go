package peer

import (
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Merge merges entries from a source other than a session into the view and
// forwards those that are new.
func (n *Node) Merge(is ...view.Item) {
	n.mu.Lock()
	effect := n.merge(is, nil)
	n.mu.Unlock()
	n.viewChanged(effect)
}

// merge merges entries into the view, forwards those that are new to all
// sessions except from, and returns the kind of change. The caller holds the
// mutex.
func (n *Node) merge(items []view.Item, from *session) change {
	var accepted []view.Item
	c := unchanged
	for _, i := range items {
		if i.Key == n.self.Key && !n.reassertSelf(&i) {
			continue
		}
		if !n.view.Merge(n.now(), i) {
			continue
		}
		accepted = append(accepted, i)
		c = max(c, changed)
		if i.State != view.Serving {
			c = degraded
		}
	}
	n.changes += uint64(len(accepted))
	n.sendEntries(accepted, from)
	return c
}

// change is the effect of an update on the view or the marks.
type change uint8

const (
	unchanged change = iota
	changed
	// degraded means that a process may have become unusable.
	degraded
)

func changedIf(b bool) change {
	if b {
		return changed
	}
	return unchanged
}

// reassertSelf handles a version of this balancer's entry that was changed by
// another process: it replaces the item by the own entry with a higher sequence
// number. It returns false if the item is no such version.
func (n *Node) reassertSelf(i *view.Item) bool {
	if i.Seq < n.self.Seq || i.Entry == n.self.Entry {
		return false
	}
	n.self.Seq = i.Seq + 1
	*i = n.self
	if n.options.OnSelf != nil {
		go n.options.OnSelf(n.self.Entry)
	}
	return true
}

// sendEntries sends entries to all sessions except from. Balancers get all of
// them; an agent gets those of balancers, and its own.
func (n *Node) sendEntries(items []view.Item, from *session) {
	if len(items) == 0 {
		return
	}
	n.entriesForwarded.Add(uint64(len(items)))
	all := entryFrames(items, nil)
	var forAgents []packet
	var balancers []view.Item
	for _, i := range items {
		if i.Key.IsBalancer() {
			balancers = append(balancers, i)
		}
	}
	if len(balancers) > 0 {
		forAgents = entryFrames(balancers, nil)
	}
	for s := range n.sessions {
		switch {
		case s == from:
		case s.remote.Key.IsBalancer():
			s.send(all...)
		default:
			s.send(forAgents...)
			for _, i := range items {
				if i.Key == s.remote.Key {
					s.send(entryFrames([]view.Item{i}, nil)...)
				}
			}
		}
	}
}

// viewChanged calls OnView if there was a change.
func (n *Node) viewChanged(c change) {
	if c != unchanged && n.options.OnView != nil {
		n.options.OnView(c == degraded)
	}
}
