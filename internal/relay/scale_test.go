package relay

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// newTargetSizeMembership returns a membership of the size that the system is
// built for: 440 balancers and 4,500 endpoints.
func newTargetSizeMembership(t testing.TB) *membership {
	t.Helper()
	b := &Balancer{
		settings:      &config.Balancer{Place: "recife"},
		frame:         proc.New("balancer", "test", io.Discard),
		agentNetworks: []netip.Prefix{netip.MustParsePrefix("10.0.0.0/8")},
	}
	addr := func(net byte, i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, net, byte(i >> 8), byte(i)}), 7000)
	}
	key := func(i int) view.Key {
		return view.Key{Name: fmt.Sprint("b", i), Hop: addr(1, i), Instance: ident.Instance(i + 1)}
	}
	b.members = newMembership(b, peer.NodeOptions{Self: view.Entry{Key: key(0), State: view.Serving, Peer: addr(1, 0)}})
	var items []view.Item
	for i := 1; i < 440; i++ {
		items = append(items, view.Item{Entry: view.Entry{Key: key(i), State: view.Serving, Seq: 1, Place: "recife", Peer: addr(1, i)}})
	}
	for i := range 4500 {
		items = append(items, view.Item{Entry: view.Entry{
			Key:   view.Key{Hop: addr(2, i), Instance: 1},
			State: view.Serving, Seq: 1, Service: "listas", Place: "recife",
		}})
	}
	b.members.node.Merge(items...)
	return b.members
}

// TestForeignEndpoint guards against an endpoint outside the agent networks that
// gets no flows without a log line, and against one log line per rebuild.
func TestForeignEndpoint(t *testing.T) {
	m := newTargetSizeMembership(t)
	var log bytes.Buffer
	m.b.frame = proc.New("balancer", "test", &log)
	k := view.Key{Hop: netip.MustParseAddrPort("192.0.2.1:7000"), Instance: 1}
	m.node.Merge(view.Item{Entry: view.Entry{Key: k, State: view.Serving, Seq: 1, Service: "listas", Place: "recife"}})
	for range 3 {
		m.rebuild()
	}
	if n, lines := m.b.endpointsRefused.Load(), strings.Count(log.String(), "outside agentNetworks"); n != 1 || lines != 1 {
		t.Errorf("want one counted endpoint and one log line, have %d and %d", n, lines)
	}
}

// BenchmarkRebuild measures a rebuild of the routing table at the target size.
func BenchmarkRebuild(b *testing.B) {
	m := newTargetSizeMembership(b)
	m.rebuild()
	for b.Loop() {
		m.rebuild()
	}
}

// BenchmarkRebuildBalancers measures a rebuild after the set of balancers has
// changed, which assigns all probes anew.
func BenchmarkRebuildBalancers(b *testing.B) {
	m := newTargetSizeMembership(b)
	for b.Loop() {
		m.assigned = probeAssignment{}
		m.rebuild()
	}
}

// BenchmarkTick measures one tick. One in scanTicks includes a scan of the data
// path's records.
func BenchmarkTick(b *testing.B) {
	m := newTargetSizeMembership(b)
	m.b.probeEvents = ring.New[probeEvent](1)
	m.rebuild()
	for b.Loop() {
		m.collectEvents(time.Second)
		m.health.Tick(time.Second)
	}
}
