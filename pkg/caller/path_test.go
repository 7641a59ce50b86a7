package caller

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

func get(t *testing.T, c *Client, url string) *http.Response {
	t.Helper()
	req, err := http.NewRequestWithContext(withTimeout(t, 20*time.Second), http.MethodGet, url, nil)
	noError(t, err)
	resp, err := c.Do(req)
	noError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func checkBody(t *testing.T, resp *http.Response) {
	t.Helper()
	sum := sha256.New()
	if _, err := io.Copy(sum, resp.Body); err != nil {
		t.Fatal(err)
	}
	if want, have := resp.Header.Get(stub.HashHeader), hex.EncodeToString(sum.Sum(nil)); want != have {
		t.Errorf("hash of the body: want %s, have %s", want, have)
	}
}

// TestSilentPath checks that open flows continue without a break and on the same
// connection each time the network loses its state for their addresses, and that
// a slow upstream alone causes no migration.
func TestSilentPath(t *testing.T) {
	u := stub.New("listas", 1500*time.Millisecond)
	s := newServer(t, u)
	fab := newFabric(t, s)
	c := newClient(t)
	url := "https://" + fab.Addr().String()
	if b, err := io.ReadAll(get(t, c, url+"/slow").Body); err != nil || len(b) == 0 {
		t.Fatalf("slow request: %q, %v", b, err)
	}
	if n := c.Stats(); n.MigrationAttempts != 0 || n.Pings == 0 {
		t.Errorf("slow upstream: want pings and no migration, have %+v", n)
	}
	feed, err := c.Feed(t.Context(), url+"/feeds/prices?everyMillis=20", nil)
	noError(t, err)
	defer feed.Close()
	sheet := get(t, c, url+"/sheet?size=4000000&bytesPerSecond=1000000")
	for n := range 3 {
		readEvents(t, feed, 1+n*50, 50+n*50)
		forgetAllCallers(fab)
		before := c.Stats().Migrations
		eventually(t, "two migrations", func() bool { return c.Stats().Migrations >= before+2 })
	}
	checkBody(t, sheet)
	readEvents(t, feed, 151, 250)
	if n := feed.Stats(); n.Breaks != 0 {
		t.Errorf("want no break, have %+v", n)
	}
	if n := c.Stats(); n.Flows != 2 || n.BrokenFlows != 0 {
		t.Errorf("want 2 flows and none broken, have %+v", n)
	}
}

func forgetAllCallers(f *fabric.Fabric) {
	for _, a := range f.Callers() {
		f.ForgetCaller(a)
	}
}

// TestOldSocket checks that packets in flight to the old socket are accepted
// after a migration, so that the server does not have to retransmit them.
func TestOldSocket(t *testing.T) {
	s := newServer(t, stub.New("fichas", 0))
	fab := newFabric(t, s)
	c := newClient(t)
	resp := get(t, c, "https://"+fab.Addr().String()+"/sheet?size=3000000&bytesPerSecond=1500000")
	if _, err := io.CopyN(io.Discard, resp.Body, 200000); err != nil {
		t.Fatal(err)
	}
	var f *flow
	c.mu.Lock()
	for _, v := range c.services {
		f = v.flows[0]
	}
	c.mu.Unlock()
	fab.SetFaults(fabric.Faults{}, fabric.Faults{Delay: 200 * time.Millisecond})
	f.migrate(time.Second)
	if n := c.Stats().Migrations; n != 1 {
		t.Fatalf("want one migration, have %d", n)
	}
	before := s.conn(0).ConnectionStats()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	after := s.conn(0).ConnectionStats()
	if lost, sent := after.PacketsLost-before.PacketsLost, after.PacketsSent-before.PacketsSent; lost*20 > sent {
		t.Errorf("want under 5%% of packets lost after the migration, have %d of %d", lost, sent)
	}
}

// TestFrozenServer checks that a flow survives a server that answers no packet
// for a while, although migrations fail meanwhile, and that a feed closes a flow
// whose server stays silent and continues when the server is back.
func TestFrozenServer(t *testing.T) {
	s := newServer(t, stub.New("listas", 0))
	fab := newFabric(t, s)
	c := newClient(t, WithGiveUp(5*time.Second))
	feed, err := c.Feed(t.Context(), "https://"+fab.Addr().String()+"/feeds/prices?everyMillis=10", nil)
	noError(t, err)
	defer feed.Close()
	readEvents(t, feed, 1, 5)
	fab.SetBalancerFaults(s.addr, fabric.BalancerFaults{Frozen: true})
	eventually(t, "migrations tried", func() bool { return c.Stats().MigrationAttempts == 3 })
	fab.SetBalancerFaults(s.addr, fabric.BalancerFaults{})
	readEvents(t, feed, 6, 300)
	if n := feed.Stats(); n.Breaks != 0 {
		t.Errorf("want no break, have %+v, %+v", n, c.Stats())
	}
	fab.SetBalancerFaults(s.addr, fabric.BalancerFaults{Frozen: true})
	eventually(t, "feed closes the silent flow", func() bool { return feed.Stats().Breaks == 1 })
	if n := c.Stats(); n.BrokenFlows != 1 {
		t.Errorf("want one broken flow, have %+v", n)
	}
	fab.SetBalancerFaults(s.addr, fabric.BalancerFaults{})
	readUntilReopened(t, feed)
}

// readUntilReopened reads events until the feed has been reopened after a break.
func readUntilReopened(t *testing.T, f *Feed) {
	t.Helper()
	ctx := withTimeout(t, conditionTimeout)
	for f.Stats().LongestGap == 0 {
		if _, err := f.Next(ctx); err != nil {
			t.Fatalf("feed after the break: %v", err)
		}
	}
}

// TestPathMonitor checks the decisions of the path monitor. A ping is sent within
// the time for the usage. A path that answers within the timeout is never
// migrated. A silent path is migrated at most one step after the answer timeout
// of its ping and at least once more, and the flow is closed in the end.
func TestPathMonitor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rtt := time.Duration(rapid.IntRange(0, 300).Draw(t, "rtt")) * time.Millisecond
		u := usage(rapid.IntRange(0, 2).Draw(t, "use"))
		answer := time.Duration(rapid.IntRange(0, 2000).Draw(t, "answer")) * time.Millisecond
		start := time.Unix(0, 0)
		var m pathMonitor
		m.init(start, 10*time.Second, 300*time.Millisecond, 5*time.Second)
		answerTimeout := max(4*rtt, 300*time.Millisecond)
		var (
			received              uint64
			pendingPing, lastPing time.Time
			migrations            []time.Time
			closed                bool
			pings                 int
		)
		for at := start; at.Before(start.Add(40*time.Second)) && !closed; {
			if !pendingPing.IsZero() && at.Sub(pendingPing) >= answer && answer < answerTimeout-busyStep {
				received++
				pendingPing = time.Time{}
			}
			a, next := m.step(at, received, rtt, u)
			switch a {
			case actPing:
				pings++
				pendingPing = at
				if wait := at.Sub(start); lastPing.IsZero() && wait > m.pingAfter(answerTimeout, u)+idleStep {
					t.Fatalf("first ping after %v", wait)
				}
				lastPing = at
			case actMigrate:
				migrations = append(migrations, at)
			case actClose:
				closed = true
				checkBetween(t, "time from ping to close", at.Sub(lastPing), 5*time.Second, 5*time.Second+busyStep)
			}
			at = at.Add(next)
		}
		if answer < answerTimeout-busyStep && len(migrations) > 0 {
			t.Fatalf("migrated a path that answers after %v within the timeout %v", answer, answerTimeout)
		}
		// A feed without events settles at one ping per 800 ms, an idle flow at one
		// per 11 s.
		maxPings := map[usage]int{usageIdle: 4, usageRequest: 270, usageFeed: 60}[u]
		checkBetween(t, "pings in 40 s", pings, 1, maxPings)
		if answer < answerTimeout {
			return
		}
		if len(migrations) < 2 || !closed {
			t.Fatalf("migrated a silent path %d times in 40 s, closed %v", len(migrations), closed)
		}
		checkBetween(t, "time from ping to migration", migrations[0].Sub(lastPing), answerTimeout, answerTimeout+busyStep)
	})
}

func checkBetween[T cmp.Ordered](t *rapid.T, what string, have, low, high T) {
	if have < low || have > high {
		t.Fatalf("%s: want %v to %v, have %v", what, low, high, have)
	}
}
