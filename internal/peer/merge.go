package peer

import (
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// Merge adds entries from another source than a session and passes on news.
func (n *Node) Merge(is ...view.Item) {
	n.mu.Lock()
	news := n.merge(is, nil)
	n.mu.Unlock()
	n.viewChanged(news)
}

// merge adds entries, passes on the news to all sessions but from, and
// says what changed. The caller holds the mutex.
func (n *Node) merge(is []view.Item, from *session) change {
	var news []view.Item
	c := unchanged
	for _, i := range is {
		if i.Key == n.self.Key && !n.outranks(&i) {
			continue
		}
		if !n.view.Merge(n.now(), i) {
			continue
		}
		news = append(news, i)
		c = max(c, changed)
		if i.State != view.Serving {
			c = worse
		}
	}
	n.changes += uint64(len(news))
	n.push(news, from)
	return c
}

// change says what an update did to the view.
type change uint8

const (
	unchanged change = iota
	changed
	// worse means that something may have become unusable.
	worse
)

func changedIf(b bool) change {
	if b {
		return changed
	}
	return unchanged
}

// outranks replaces a version of the own entry that this process did not make
// by a higher one.
func (n *Node) outranks(i *view.Item) bool {
	if i.Seq < n.self.Seq || i.Entry == n.self.Entry {
		return false
	}
	n.self.Seq = i.Seq + 1
	*i = n.self
	if n.o.OnSelf != nil {
		go n.o.OnSelf(n.self.Entry)
	}
	return true
}

// push sends entries to the balancers. An agent gets those of balancers and,
// when another process changed it, its own.
func (n *Node) push(news []view.Item, from *session) {
	if len(news) == 0 {
		return
	}
	n.entriesForwarded.Add(uint64(len(news)))
	all := entryFrames(news, nil)
	var forAgents []packet
	var bs []view.Item
	for _, i := range news {
		if i.Key.IsBalancer() {
			bs = append(bs, i)
		}
	}
	if len(bs) > 0 {
		forAgents = entryFrames(bs, nil)
	}
	for s := range n.sessions {
		switch {
		case s == from:
		case s.remote.Key.IsBalancer():
			s.send(all...)
		default:
			s.send(forAgents...)
			for _, i := range news {
				if i.Key == s.remote.Key {
					s.send(entryFrames([]view.Item{i}, nil)...)
				}
			}
		}
	}
}

func (n *Node) viewChanged(c change) {
	if c != unchanged && n.o.OnView != nil {
		n.o.OnView(c == worse)
	}
}
