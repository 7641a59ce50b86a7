package agent

import (
	"context"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestIdleFlow guards R1: a feed stays open longer than the time after which a
// flow without a request is closed.
func TestIdleFlow(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	a := b.newAgent("127.0.0.1:0", url, decl.Service{StreamPaths: []string{"/feeds/"}})
	const idle = 200 * time.Millisecond
	a.servers.current.IdleTimeout = idle
	b.serve(a)
	ended := make(chan error, 1)
	feed := b.client()
	go func() {
		_, err := b.get(feed, "/feeds/hold")
		ended <- err
	}()
	eventually(t, "feed open", func() bool { return u.calls.Load() == 1 })
	_, err := b.get(b.client(), "/")
	must(t, err)
	eventually(t, "flow without a request closed", func() bool { return a.admission.stats().Connections == 1 })
	select {
	case err := <-ended:
		t.Fatalf("feed ended: %v", err)
	case <-time.After(3 * idle):
	}
	close(u.release)
	must(t, <-ended)
}

// TestRetry guards against a Retry that breaks the handshake: the caller's
// second Initial packet carries the agent's connection ID and is not placed
// again.
func TestRetry(t *testing.T) {
	b := newTestBalancer(t)
	_, url := newTestUpstream(t)
	a := b.newAgent("127.0.0.1:0", url, decl.Service{})
	a.handshakes.limit.perSecond = 0
	b.serve(a)
	if status, err := b.get(b.client(), "/"); err != nil || status != 200 {
		t.Errorf("want 200, have %d, %v", status, err)
	}
	if n := a.handshakes.retries.Load(); n == 0 {
		t.Error("want a Retry, have none")
	}
}

// TestKeyRotation checks that a flow opened under the previous key continues
// after a key rotation, and that new flows work.
func TestKeyRotation(t *testing.T) {
	b := newTestBalancer(t)
	_, url := newTestUpstream(t)
	a := b.newAgent("127.0.0.1:0", url, decl.Service{})
	rotated := make(chan struct{})
	first := a.keys()
	b.writeKeys(2)
	second, err := config.LoadKeys(a.settings.KeysFile)
	must(t, err)
	a.keys = func() *connid.Set {
		select {
		case <-rotated:
			return second
		default:
			return first
		}
	}
	b.serve(a)
	old := b.client()
	for i := range 2 {
		for _, c := range []*struct{ name string }{{"old"}, {"new"}} {
			client := old
			if c.name == "new" {
				client = b.client()
			}
			if status, err := b.get(client, "/"); err != nil || status != 200 {
				t.Errorf("%s flow, round %d: want 200, have %d, %v", c.name, i, status, err)
			}
		}
		if i == 0 {
			close(rotated)
		}
	}
	if n := a.admission.stats().Connections; n != 3 {
		t.Errorf("flows: want 3, have %d", n)
	}
}

// TestLateFirstRequest guards against a late first request that ends the
// expectation of another flow. It also checks that a flow without a request is
// closed after a key change and no longer counted under the old key.
func TestLateFirstRequest(t *testing.T) {
	b := newTestBalancer(t)
	a := b.newAgent("127.0.0.1:0", "http://127.0.0.1:1", decl.Service{})
	a.servers.current.IdleTimeout = 500 * time.Millisecond
	a.lateServer.IdleTimeout = 500 * time.Millisecond
	now := time.Now()
	a.admission.now = func() time.Time { return now }
	b.serve(a)
	c, err := quic.DialAddr(t.Context(), addrOf(b.callerConn).String(), b.callerTLS, nil)
	must(t, err)
	defer c.CloseWithError(0, "")
	for _, f := range []struct {
		age      time.Duration
		expected int
	}{{firstRequestTimeout, 1}, {firstRequestTimeout - 1, 0}} {
		a.flowRequested(context.WithValue(t.Context(), flowContextKey{}, &flow{opened: now.Add(-f.age)}))
		if n := a.admission.stats().Expected; n != f.expected {
			t.Errorf("first request after %v: want %d expected, have %d", f.age, f.expected, n)
		}
	}
	go a.servers.replace(2).drain()
	eventually(t, "flow of the old key closed", func() bool { return a.servers.openByKey()[1] == 0 })
}
