package peer

import (
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestMarksReachAllBalancers guards against marks that reach only direct peers.
// With 10 balancers of 3 sessions each, a mark must reach all of them, last
// while its origin runs, and expire within 3 s after it stopped.
func TestMarksReachAllBalancers(t *testing.T) {
	ns := startNodes(t, 10)
	target := endpointItem(1)
	ns[0].Merge(target)
	count := func() int {
		held := 0
		for _, n := range ns[1:] {
			if n.MarkOf(target.Key) == view.Down {
				held++
			}
		}
		return held
	}
	ns[0].Mark(view.Mark{Target: target.Key, Condition: view.Down})
	d := eventually(t, time.Second, "mark everywhere", func() bool { return count() == 9 })
	t.Logf("a mark reached 10 balancers in %v", d)
	for begin := time.Now(); time.Since(begin) < 4*time.Second; time.Sleep(10 * time.Millisecond) {
		if n := count(); n != 9 {
			t.Fatalf("%v after the mark: want it at 9 balancers, have %d", time.Since(begin), n)
		}
	}
	ns[0].stop()
	d = eventually(t, view.MarkTTL+time.Second, "no mark of the stopped balancer", func() bool { return count() == 0 })
	t.Logf("marks expired %v after their origin stopped", d)
	time.Sleep(renewInterval * 2)
	if n := count(); n != 0 {
		t.Errorf("want no mark of the stopped balancer, have it at %d", n)
	}
}

// TestMarkTraffic guards the control traffic budget of 21 KB/s when a place
// fails: renewing two marks on each of 750 endpoints must stay within it at a
// balancer with 3 dialed and 3 accepted sessions.
func TestMarkTraffic(t *testing.T) {
	const count = 750
	ns := startNodes(t, 4)
	eventually(t, 10*time.Second, "6 sessions", func() bool {
		ns[1].mu.Lock()
		defer ns[1].mu.Unlock()
		return len(ns[1].sessions) == 6
	})
	var is []view.Item
	for i := range count {
		is = append(is, endpointItem(i))
	}
	ns[0].Merge(is...)
	eventually(t, 5*time.Second, "all entries everywhere", func() bool { return equalViews(ns, count+4) })
	start := ns[1].State().Traffic
	for _, i := range is {
		ns[0].Mark(view.Mark{Target: i.Key, Condition: view.Down})
		ns[1].Mark(view.Mark{Target: i.Key, Condition: view.Down})
	}
	held := func() bool {
		for _, n := range ns[2:] {
			_, marks := n.Snapshot()
			if len(marks) != count {
				return false
			}
		}
		return true
	}
	eventually(t, 2*time.Second, "marks everywhere", held)
	last, since := start, time.Now()
	eventually(t, 5*time.Second, "end of the updates", func() bool {
		if now := ns[1].State().Traffic; now.Sent["marks"] != last.Sent["marks"] {
			last, since = now, time.Now()
		}
		// A balancer that missed an update asks for all marks after the next renewal.
		return time.Since(since) > 2*renewInterval
	})
	t.Logf("2 x %d marks: %d bytes sent to spread them", count, last.WireSent-start.WireSent)
	before, begin := ns[1].State().Traffic, time.Now()
	for time.Since(begin) < 4*time.Second {
		if !held() {
			t.Fatalf("a mark of a living balancer expired after %v", time.Since(begin))
		}
		time.Sleep(20 * time.Millisecond)
	}
	after, seconds := ns[1].State().Traffic, time.Since(begin).Seconds()
	rate := float64(after.WireSent-before.WireSent) / seconds
	t.Logf("2 x %d marks: %.0f bytes/s sent over 6 sessions", count, rate)
	if rate > 21000 {
		t.Errorf("want at most 21000 bytes/s, have %.0f", rate)
	}
}
