package relay

import (
	"context"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// downLimit is how long a process must be down before its view entry and
	// its platform object are removed.
	downLimit = 10 * time.Minute
	// goneLimit is the age from which the platform object of an entry that is
	// gone is removed. It leaves the owner time to remove the object itself. The
	// age is kept per key and is not reset when a key changes from down to gone,
	// so time spent down counts too.
	goneLimit = 30 * time.Second
	// cleanInterval is the time between two rounds of removals.
	cleanInterval = 5 * time.Second
	// maxDeletionsPerKey bounds the platform objects deleted per round for one
	// key.
	maxDeletionsPerKey = 8
)

// cleaner tracks how long processes have been down or gone.
type cleaner struct {
	mu sync.Mutex
	// since holds when each key was first seen down or gone, on the membership's
	// clock.
	since map[view.Key]time.Duration
	// paused is the number of pauses of this process counted at the last check.
	paused uint64
}

// resetAfterPause forgets all times if this process has paused since the last
// check: a process that was down before the pause must be found down again.
func (c *cleaner) resetAfterPause(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.paused {
		c.paused, c.since = n, nil
	}
}

// age returns how long each key in holds has been down or gone without a break,
// and forgets all other keys.
func (c *cleaner) age(now time.Duration, holds map[view.Key]bool) map[view.Key]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	next, age := map[view.Key]time.Duration{}, map[view.Key]time.Duration{}
	for k := range holds {
		begin, ok := c.since[k]
		if !ok {
			begin = now
		}
		next[k], age[k] = begin, now-begin
	}
	c.since = next
	return age
}

// clean periodically removes processes that have been down or gone for too long.
func (m *membership) clean(ctx context.Context) error {
	t := time.NewTicker(cleanInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			m.cleanOnce(ctx, m.now())
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deletion is a platform object to delete.
type deletion struct {
	kind   plat.Kind
	name   string
	object object
}

func (m *membership) cleanOnce(ctx context.Context, now time.Duration) {
	for k, age := range m.cleaner.age(now, m.removalCandidates()) {
		e, ok := m.node.Get(k)
		if ok && e.State != view.Gone && age >= downLimit {
			m.node.SetGone(e)
			m.node.Mark(view.Mark{Target: k, Condition: view.Clear})
			m.b.frame.Log.WithField("key", k).Warn("entry removed after it was down")
		}
		if ok && e.State == view.Gone && age < goneLimit {
			continue
		}
		if age >= goneLimit && (!ok || e.State == view.Gone) || age >= downLimit {
			m.remove(ctx, k)
		}
	}
}

// removalCandidates returns the keys that this balancer found down and the keys
// of platform objects whose entries are gone. It leaves out processes that are
// not known to be in this balancer's region: during a network partition between
// regions, the live processes of the other region look down.
func (m *membership) removalCandidates() map[view.Key]bool {
	w := newWeights(m.b.declaration(), ident.PlaceName(m.b.settings.Place))
	holds := map[view.Key]bool{}
	for k, c := range m.node.Conditions() {
		if e, ok := m.node.Get(k); ok && c == view.Down && w.inOwnRegion(e.Place) {
			holds[k] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, objects := range m.objects {
		for _, o := range objects {
			if e, ok := m.node.Get(o.key); (!ok || e.State == view.Gone) && w.inOwnRegion(o.place) {
				holds[o.key] = true
			}
		}
	}
	return holds
}

// remove deletes the platform objects of a key that still have the version known
// here. Several balancers may try; the version check lets only one succeed.
func (m *membership) remove(ctx context.Context, k view.Key) {
	var found []deletion
	m.mu.Lock()
	for kind, objects := range m.objects {
		for name, o := range objects {
			if o.key == k && len(found) < maxDeletionsPerKey {
				found = append(found, deletion{kind, name, o})
			}
		}
	}
	m.mu.Unlock()
	for _, c := range found {
		err := m.b.client.Delete(ctx, c.kind, c.name, c.object.version)
		m.b.frame.Log.WithField("name", c.name).WithField("error", err).Info("platform object of an ended process removed")
	}
}
