package front

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// watchersPerPlace is the number of balancers in each place that watch the
	// configuration on the platform. The others learn of changes from them.
	watchersPerPlace = 2
	// minWatchers is the minimum number of watchers in all places together, so that a
	// failure of half of the balancers leaves some.
	minWatchers = 6
	// defaultConfigLimit is the ConfigLimit of a balancer whose settings have none.
	defaultConfigLimit = 3 * time.Second
	// minOverdueShare is the share of ConfigLimit without an answer of the platform
	// after which a balancer reads the configuration itself. Each balancer adds a
	// random share of up to maxOverdueSpread, so that the first one can tell the
	// others before they read it too. The rest is for the call.
	minOverdueShare  = 0.6
	maxOverdueSpread = 0.15
	// meetTime is the time after its start in which a balancer that knows no other one
	// does not watch yet.
	meetTime = time.Second
	// watcherCheckInterval is the time between two checks whether a balancer is to
	// watch.
	watcherCheckInterval = 500 * time.Millisecond
)

// confirmation records when the platform last answered a balancer about one kind of
// objects: the configuration or the evacuations. The watchers tell all balancers of each
// answer, so a longer silence means that they have failed, have lost the platform, or are
// not heard.
type confirmation struct {
	// kind is the kind of the objects.
	kind plat.Kind
	// interval is the mean time between two watch calls of all watchers together.
	interval time.Duration
	// at is the time of the latest answer; the start of the balancer before the first.
	at time.Duration
	// limit is the age of the latest answer from which on it is overdue.
	limit time.Duration
	// substitute is set when an answer is overdue, until another watcher has one. The
	// balancer then watches even if it is no watcher, and its calls wait for less
	// than limit.
	substitute bool
}

func (c *confirmation) init(now time.Duration, random *rand.Rand, k plat.Kind, limit, interval time.Duration) {
	c.kind, c.at, c.interval = k, now, interval
	c.limit = time.Duration((minOverdueShare + maxOverdueSpread*random.Float64()) * float64(limit))
}

// overdue reports whether there was no answer for too long.
func (c *confirmation) overdue(now time.Duration) bool { return now-c.at >= c.limit }

// watchersOf returns the balancers of a view that watch: the first ones of each place by
// name and, if those are too few, the first ones of all.
func watchersOf(balancers []view.Entry) []view.Key {
	slices.SortFunc(balancers, func(a, b view.Entry) int {
		return cmp.Or(cmp.Compare(a.Key.Name, b.Key.Name), a.Key.Hop.Compare(b.Key.Hop))
	})
	var watchers, others []view.Key
	inPlace := map[ident.PlaceName]int{}
	for _, e := range balancers {
		if inPlace[e.Place] < watchersPerPlace {
			inPlace[e.Place]++
			watchers = append(watchers, e.Key)
		} else {
			others = append(others, e.Key)
		}
	}
	missing := max(0, minWatchers-len(watchers))
	return append(watchers, others[:min(missing, len(others))]...)
}

// Watches reports whether this balancer is to watch the configuration on the platform.
func (c *Core) Watches(now time.Duration) bool { return c.watches(now, &c.confirmed) }

// WatchesEvacuations reports whether this balancer is to watch the evacuations on the
// platform.
func (c *Core) WatchesEvacuations(now time.Duration) bool {
	return c.watches(now, &c.evacuations.confirmed)
}

// watches reports whether this balancer is to watch objects on the platform: if it is a
// watcher, or stands in for watchers of which nothing is heard. A balancer that has just
// started first gets to know the others.
func (c *Core) watches(now time.Duration, o *confirmation) bool {
	if len(c.view.Balancers()) == 1 && now-c.started < meetTime {
		return false
	}
	return o.substitute || o.overdue(now) || c.isWatcher()
}

func (c *Core) isWatcher() bool { return slices.Contains(watchersOf(c.view.Balancers()), c.ownKey()) }

// WatchWait returns how long the next watch call for the configuration is to wait for a
// change. If an answer of the platform is overdue, the result is 0.
func (c *Core) WatchWait(now time.Duration) time.Duration { return c.watchWait(now, &c.confirmed) }

// EvacuationWait returns how long the next watch call for evacuations is to wait.
func (c *Core) EvacuationWait(now time.Duration) time.Duration {
	return c.watchWait(now, &c.evacuations.confirmed)
}

// waitSpread is the mean wait of a watch call divided by its greatest deviation. Watchers then
// spread over time within some calls, and their number in a given time hardly varies.
const waitSpread = 4

// watchWait returns how long the next watch call is to wait for a change. The wait is
// random to spread the calls of the watchers over time. If an answer of the platform is
// overdue, the result is 0.
func (c *Core) watchWait(now time.Duration, o *confirmation) time.Duration {
	if o.overdue(now) {
		return 0
	}
	watchers := max(1, len(watchersOf(c.view.Balancers()))) // None after the stop of the last one.
	wait := min(time.Duration(watchers)*o.interval, maxWatchWait)
	if o.substitute {
		wait = min(wait, o.limit/2)
	}
	return wait - wait/waitSpread + time.Duration(c.self.Random.Int64N(int64(2*wait/waitSpread)))
}

// checkOverdue makes this balancer a substitute for the watchers of each kind of which an
// answer of the platform is overdue.
func (c *Core) checkOverdue(now time.Duration) {
	c.replaceWatchers(now, &c.confirmed, c.InterruptWatch)
	if c.Evacuates() {
		c.replaceWatchers(now, &c.evacuations.confirmed, c.InterruptEvacuationWatch)
	}
}

// replaceWatchers makes this balancer a substitute if an answer of the platform is overdue.
func (c *Core) replaceWatchers(now time.Duration, o *confirmation, interrupt func()) {
	if !o.overdue(now) || c.stopped {
		return
	}
	if !o.substitute {
		o.substitute = true
		c.Counts.Substituted++
		c.Log.WithFields(logrus.Fields{
			"event": "watchersSilent", "kind": o.kind, "silentFor": now - o.at, "watcher": c.isWatcher(), "balancers": 1 + len(c.Peers()),
		}).Warn("no balancer reports an answer of the platform; reading it")
	}
	interrupt()
}

// NoteConfirmed records that the platform has answered this balancer about the
// configuration.
func (c *Core) NoteConfirmed(now time.Duration) { c.confirmed.at = now }

// noteWatcher records that the platform has answered another balancer about the
// configuration.
func (c *Core) noteWatcher(now time.Duration, peer netip.AddrPort) {
	c.noteAnswer(now, &c.confirmed, peer)
}

// noteAnswer records that the platform has answered another balancer.
func (c *Core) noteAnswer(now time.Duration, o *confirmation, peer netip.AddrPort) {
	o.at = now
	if !o.substitute {
		return
	}
	bs := c.view.Balancers()
	watchers := watchersOf(bs)
	for _, e := range bs {
		if e.Peer == peer && slices.Contains(watchers, e.Key) {
			o.substitute = false
			c.Log.WithFields(logrus.Fields{"event": "watchersHeard", "kind": o.kind, "watcher": peer}).Info("a watcher has an answer of the platform again")
			return
		}
	}
}
