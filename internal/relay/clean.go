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
	// downLimit is how long a process must be down before its entry and its
	// platform object are removed.
	downLimit = 10 * time.Minute
	// goneLimit leaves the owner time to remove its object itself.
	goneLimit     = 30 * time.Second
	cleanInterval = 5 * time.Second
	// maxCleanups bounds the deletions of one round.
	maxCleanups = 8
)

// cleaner measures how long processes have been down or gone.
type cleaner struct {
	mu    sync.Mutex
	since map[view.Key]time.Duration
	// paused is the number of pauses of this process at the last check.
	paused uint64
}

// pauses forgets all times after a pause of this process: what was down before
// it must be found down anew.
func (c *cleaner) pauses(n uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n != c.paused {
		c.paused, c.since = n, nil
	}
}

// age returns for how long the condition has held of each key, and forgets the
// other keys.
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

// clean removes what has been down or gone for too long.
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

type cleanup struct {
	kind   plat.Kind
	name   string
	object object
}

func (m *membership) cleanOnce(ctx context.Context, now time.Duration) {
	for k, age := range m.cleaner.age(now, m.ended()) {
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

// ended returns the keys that this balancer found down, and those of platform
// objects whose entries are gone. It leaves out processes that are not known to
// be in this balancer's region: while regions are apart, the other region's
// living processes look down.
func (m *membership) ended() map[view.Key]bool {
	w := newWeights(m.b.declaration(), ident.PlaceName(m.b.settings.Place))
	holds := map[view.Key]bool{}
	for k, c := range m.node.Conditions() {
		if e, ok := m.node.Get(k); ok && c == view.Down && w.own(e.Place) {
			holds[k] = true
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, objects := range m.objects {
		for _, o := range objects {
			if e, ok := m.node.Get(o.key); (!ok || e.State == view.Gone) && w.own(o.place) {
				holds[o.key] = true
			}
		}
	}
	return holds
}

// remove deletes the platform object of a key if it still has the version
// known here. Several balancers may try; the condition lets one succeed.
func (m *membership) remove(ctx context.Context, k view.Key) {
	var found []cleanup
	m.mu.Lock()
	for kind, objects := range m.objects {
		for name, o := range objects {
			if o.key == k && len(found) < maxCleanups {
				found = append(found, cleanup{kind, name, o})
			}
		}
	}
	m.mu.Unlock()
	for _, c := range found {
		err := m.b.client.Delete(ctx, c.kind, c.name, c.object.version)
		m.b.frame.Log.WithField("name", c.name).WithField("error", err).Info("platform object of an ended process removed")
	}
}
