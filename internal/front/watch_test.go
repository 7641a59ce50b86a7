package front

import (
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestWatchers checks how many balancers watch the platform: all of a few, two in each
// place of many, and never so few that one failure leaves none.
func TestWatchers(t *testing.T) {
	for _, s := range []struct{ balancers, places, want int }{
		{1, 1, 1}, {4, 3, 4}, {6, 3, 6}, {20, 1, 6}, {20, 2, 6}, {17, 3, 6}, {107, 5, 10}, {440, 6, 12},
	} {
		var es []view.Entry
		for n := range s.balancers {
			es = append(es, view.Entry{
				Key:   view.Key{Name: fmt.Sprint("b", n), Hop: peerAddr(n), Instance: ident.Instance(n + 1)},
				Place: ident.PlaceName(fmt.Sprint("place", n%s.places)),
			})
		}
		if have := len(watchersOf(es)); have != s.want {
			t.Errorf("%d balancers in %d places: want %d watchers, have %d", s.balancers, s.places, s.want, have)
		}
	}
}

// TestConfirmationAge guards against balancers that wait for watchers that do not reach
// the platform: they watch themselves once no answer is known for too long, well within
// the limit, and stop when a watcher tells of one.
func TestConfirmationAge(t *testing.T) {
	const configLimit = 5 * time.Second
	c := NewCore(0, CoreConfig{Name: "z", Place: "a", ConfigLimit: configLimit}, flow.Codec{})
	c.Log = logrus.NewEntry(logrus.New())
	c.Log.Logger.SetOutput(io.Discard)
	interrupted := 0
	c.InterruptWatch = func() { interrupted++ }
	for n := range 2 * minWatchers {
		e := view.Entry{Key: view.Key{Name: fmt.Sprint("b", n), Hop: peerAddr(n), Instance: ident.Instance(n + 1)}, Peer: peerAddr(n), State: view.Serving, Seq: 1, Place: "a"}
		c.view.Merge(0, view.Item{Entry: e})
	}
	now := time.Minute
	if !c.Watches(now) {
		t.Error("no answer of the platform is known: want the balancer to watch")
	}
	limit := c.confirmed.limit
	if slack := 3 * overdueTimeout / 2; limit > configLimit-slack {
		t.Errorf("limit %v: want at least %v before the change must be in force", limit, slack)
	}
	c.noteWatcher(now, peerAddr(0))
	if c.Watches(now + limit - 1) {
		t.Error("a watcher had an answer: want the balancer not to watch")
	}
	if now += limit; !c.Watches(now) {
		t.Errorf("no answer for %v: want the balancer to watch", limit)
	}
	if w := c.WatchWait(now); w != 0 {
		t.Errorf("an answer is overdue: want a call that returns at once, have a wait of %v", w)
	}
	if c.checkOverdue(now); interrupted != 1 {
		t.Errorf("an answer is overdue: want a waiting call to be interrupted, have %d interrupts", interrupted)
	}
	c.NoteConfirmed(now)
	if w := c.WatchWait(now); w == 0 || w >= limit || !c.Watches(now) {
		t.Errorf("in place of the watchers: want waits of less than %v, have %v (watches: %v)", limit, w, c.Watches(now))
	}
	// b9 is the last by name, so it is no watcher itself.
	if c.noteWatcher(now, peerAddr(9)); !c.Watches(now) {
		t.Error("no watcher had an answer: want the balancer to go on")
	}
	if c.noteWatcher(now, peerAddr(0)); c.Watches(now) {
		t.Error("a watcher had an answer: want the balancer to stop")
	}
}

func peerAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

// TestWaitSpread guards the number of calls to the platform: the waits of watch calls differ by a
// quarter at most from their mean, so that chance adds few calls in any time.
func TestWaitSpread(t *testing.T) {
	c := NewCore(0, CoreConfig{Name: "z", Place: "a", EvacuationLimit: 5 * time.Second}, flow.Codec{})
	mean := c.evacuations.confirmed.interval
	least, most := mean, mean
	for range 1000 {
		wait := c.EvacuationWait(0)
		least, most = min(least, wait), max(most, wait)
	}
	if least < mean-mean/waitSpread || most > mean+mean/waitSpread || most-least < mean/waitSpread {
		t.Errorf("want waits within a quarter of %v, have %v to %v", mean, least, most)
	}
}
