package fabric

import (
	"encoding/binary"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// echo is a fake balancer that returns each packet and keeps its number.
type echo struct {
	conn *net.UDPConn
	got  chan uint32
	n    atomic.Int64
}

func (e *echo) addr() netip.AddrPort { return unmap(e.conn.LocalAddr().(*net.UDPAddr).AddrPort()) }

func listen(tb testing.TB) *net.UDPConn {
	tb.Helper()
	c, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	if err != nil {
		tb.Fatal(err)
	}
	c.SetReadBuffer(socketBuffer)
	tb.Cleanup(func() { c.Close() })
	return c
}

func newEcho(tb testing.TB) *echo {
	e := &echo{conn: listen(tb), got: make(chan uint32, 1<<16)}
	go func() {
		b := make([]byte, maxPacket)
		for {
			n, from, err := e.conn.ReadFromUDPAddrPort(b)
			if err != nil {
				return
			}
			e.n.Add(1)
			select {
			case e.got <- binary.BigEndian.Uint32(b):
			default:
			}
			e.conn.WriteToUDPAddrPort(b[:n], from)
		}
	}()
	return e
}

func start(tb testing.TB, seed uint64, es ...*echo) *Fabric {
	tb.Helper()
	var targets []netip.AddrPort
	for _, e := range es {
		targets = append(targets, e.addr())
	}
	f, err := New(loopback, seed, targets...)
	if err != nil {
		tb.Fatal(err)
	}
	go f.Run(tb.Context())
	return f
}

func send(tb testing.TB, f *Fabric, c *net.UDPConn, from, to uint32) {
	tb.Helper()
	for i := from; i < to; i++ {
		if _, err := c.WriteToUDPAddrPort(binary.BigEndian.AppendUint32(nil, i), f.Addr()); err != nil {
			tb.Fatal(err)
		}
	}
}

// receive reads packets until none arrives for quietTime. It waits up to
// receiveTimeout for the first atLeast packets, because on a loaded machine
// packets can be further apart than quietTime.
func receive(c *net.UDPConn, atLeast int) (ns []uint32) {
	b := make([]byte, maxPacket)
	limit := time.Now().Add(receiveTimeout)
	for {
		end := time.Now().Add(quietTime)
		if len(ns) < atLeast {
			end = limit
		}
		c.SetReadDeadline(end)
		if _, _, err := c.ReadFromUDPAddrPort(b); err != nil {
			return ns
		}
		ns = append(ns, binary.BigEndian.Uint32(b))
	}
}

const (
	quietTime      = 150 * time.Millisecond
	receiveTimeout = 10 * time.Second
	// Twice packetCount packets fit into a socket buffer of the kernel's default
	// limit (about 270 small packets), so that only faults lose packets.
	packetCount = 120
)

// TestFaults checks for each fault how many packets reach the balancer and the
// caller, and in which order.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name       string
		up, down   Faults
		balancer   BalancerFaults
		forget     bool
		wantUp     [2]int
		wantDown   [2]int
		wantSorted bool
		wantAfter  time.Duration
	}{
		{name: "none", wantUp: [2]int{packetCount, packetCount}, wantDown: [2]int{packetCount, packetCount}, wantSorted: true},
		{name: "loss up", up: Faults{Loss: 0.5}, wantUp: [2]int{35, 85}, wantDown: [2]int{35, 85}, wantSorted: true},
		{name: "all lost down", down: Faults{Loss: 1}, wantUp: [2]int{packetCount, packetCount}, wantSorted: true},
		{name: "duplicate", up: Faults{Duplicate: 1}, wantUp: [2]int{2 * packetCount, 2 * packetCount}, wantDown: [2]int{2 * packetCount, 2 * packetCount}, wantSorted: true},
		{name: "delay", up: Faults{Delay: 50 * time.Millisecond}, wantUp: [2]int{packetCount, packetCount}, wantDown: [2]int{packetCount, packetCount}, wantSorted: true, wantAfter: 50 * time.Millisecond},
		{name: "jitter", down: Faults{Jitter: 30 * time.Millisecond}, wantUp: [2]int{packetCount, packetCount}, wantDown: [2]int{packetCount, packetCount}},
		{name: "loss to balancer", balancer: BalancerFaults{LossTo: 1}, wantSorted: true},
		{name: "loss from balancer", balancer: BalancerFaults{LossFrom: 1}, wantUp: [2]int{packetCount, packetCount}, wantSorted: true},
		{name: "balancer delay", balancer: BalancerFaults{Delay: 25 * time.Millisecond}, wantUp: [2]int{packetCount, packetCount}, wantDown: [2]int{packetCount, packetCount}, wantSorted: true, wantAfter: 50 * time.Millisecond},
		{name: "frozen", balancer: BalancerFaults{Frozen: true}, wantSorted: true},
		{name: "forgotten", forget: true, wantSorted: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := newEcho(t)
			f := start(t, 1, e)
			caller := listen(t)
			f.SetFaults(c.up, c.down)
			f.SetBalancerFaults(e.addr(), c.balancer)
			if c.forget {
				f.ForgetCaller(unmap(caller.LocalAddr().(*net.UDPAddr).AddrPort()))
			}
			begin := time.Now()
			send(t, f, caller, 0, 1)
			// A fault that drops only some packets may drop the first one.
			certain := min(1, c.wantDown[0]/packetCount)
			first := receive(caller, certain)
			if d := time.Since(begin) - quietTime; len(first) > 0 && d < c.wantAfter {
				t.Errorf("want the first reply after %v, have %v", c.wantAfter, d)
			}
			send(t, f, caller, 1, packetCount)
			ns := append(first, receive(caller, c.wantDown[0]-len(first))...)
			for end := time.Now().Add(receiveTimeout); int(e.n.Load()) < c.wantUp[0] && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if n := int(e.n.Load()); n < c.wantUp[0] || n > c.wantUp[1] {
				t.Errorf("packets at the balancer: want %v, have %d", c.wantUp, n)
			}
			if n := len(ns); n < c.wantDown[0] || n > c.wantDown[1] {
				t.Errorf("packets at the caller: want %v, have %d", c.wantDown, n)
			}
			if slices.IsSorted(ns) != c.wantSorted {
				t.Errorf("replies in order: want %v, have the opposite", c.wantSorted)
			}
		})
	}
}

// TestForgottenCallerOnly checks that forgetting one caller address does not affect
// others, and that a frozen balancer still gets its share of the packets.
func TestForgottenCallerOnly(t *testing.T) {
	a, b := newEcho(t), newEcho(t)
	f := start(t, 3, a, b)
	old, fresh := listen(t), listen(t)
	f.ForgetCaller(unmap(old.LocalAddr().(*net.UDPAddr).AddrPort()))
	send(t, f, old, 0, packetCount)
	f.SetBalancerFaults(b.addr(), BalancerFaults{Frozen: true})
	send(t, f, fresh, 0, packetCount)
	n := len(receive(fresh, packetCount/4))
	have := f.Counters()
	if n < 35 || n > 85 || n+int(have.Frozen) != packetCount {
		t.Errorf("want about half of %d packets and the rest counted as frozen, have %d and %+v", packetCount, n, have)
	}
	if have.Forgotten != packetCount {
		t.Errorf("want %d packets counted as forgotten, have %+v", packetCount, have)
	}
}

// TestReplayAndInject checks that replayed and injected packets reach the chosen
// balancer and that the replies reach the caller address.
func TestReplayAndInject(t *testing.T) {
	a, b := newEcho(t), newEcho(t)
	f := start(t, 4, a)
	caller := listen(t)
	f.Record(2)
	send(t, f, caller, 0, 3)
	receive(caller, 3)
	rec := f.Recorded()
	if len(rec) != 2 {
		t.Fatalf("want 2 recorded packets, have %d", len(rec))
	}
	for _, p := range rec {
		if err := f.Replay(p, b.addr()); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Inject(rec[0].Caller, b.addr(), binary.BigEndian.AppendUint32(nil, 77)); err != nil {
		t.Fatal(err)
	}
	if want, have := []uint32{1, 2, 77}, receive(caller, 3); !slices.Equal(want, have) {
		t.Errorf("replies: want %v, have %v", want, have)
	}
	if b.n.Load() != 3 || a.n.Load() != 3 {
		t.Errorf("want 3 packets at each balancer, have %d and %d", a.n.Load(), b.n.Load())
	}
}

// BenchmarkForward measures how many packets per second one fabric forwards in
// both directions. Tests need at least 50,000 packets/s.
func BenchmarkForward(b *testing.B) {
	for name, down := range map[string]Faults{"direct": {}, "delayed": {Delay: time.Millisecond}} {
		b.Run(name, func(b *testing.B) {
			e := newEcho(b)
			f := start(b, 5, e)
			f.SetFaults(Faults{}, down)
			caller := listen(b)
			p := make([]byte, 1200)
			const window = 64
			buf := make([]byte, maxPacket)
			b.ResetTimer()
			for sent, got := 0, 0; got < b.N; got++ {
				for ; sent < b.N && sent-got < window; sent++ {
					caller.WriteToUDPAddrPort(p, f.Addr())
				}
				caller.SetReadDeadline(time.Now().Add(time.Second))
				if _, _, err := caller.ReadFromUDPAddrPort(buf); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(2*float64(b.N)/b.Elapsed().Seconds(), "packets/s")
		})
	}
}
