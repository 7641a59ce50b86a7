package relay

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// benchPath is a forwarding path to put under load: the address that packets are
// sent to, the packets, and the number of packets forwarded so far.
type benchPath struct {
	to        netip.AddrPort
	packets   [][]byte
	forwarded func() uint64
}

// sendersPerPath is the number of concurrent senders on a path. A single sender
// offers little more than the bare relay forwards, so it does not reach its
// capacity.
const sendersPerPath = 2

// packetsPerPath is the number of distinct packets that a sender cycles through.
const packetsPerPath = 4096

// benchPaths returns the paths to compare, by name, with packets of size octets.
// The bare relay sends each packet on to a fixed address without routing it.
func (r *rig) benchPaths(size int) map[string]benchPath {
	r.drainSocket(r.agent)
	caller := r.socket()
	r.drainSocket(caller)
	var up, opening, down [][]byte
	for i := range packetsPerPath {
		id := r.keys.Load().Encode(connid.Target{Endpoint: r.id, Service: listas}, uint32(i))
		up = append(up, short(id, size))
		opening = append(opening, initial(randomID(uint64(i)), size))
		h := encap.Header{Kind: encap.Reply, Service: listas, Instance: r.id.Instance, Caller: addrOf(caller)}
		down = append(down, r.hopPacket(h, make([]byte, size)))
	}
	var bare atomic.Uint64
	return map[string]benchPath{
		"bare":        {r.startBare(r.id.Addr, &bare), up, bare.Load},
		"established": {r.port.conn.Addr(), up, func() uint64 { return r.sum(established) }},
		"newFlow":     {r.port.conn.Addr(), opening, func() uint64 { return r.sum(newFlow) }},
		"reply":       {r.hopAddr, down, func() uint64 { return r.sum(reply) }},
	}
}

// measureRate keeps a path overloaded for d and returns the packets forwarded
// and offered per second.
func (r *rig) measureRate(l benchPath, d time.Duration) (forwarded, offered float64) {
	var (
		sent atomic.Uint64
		wg   sync.WaitGroup
	)
	stop := make(chan struct{})
	for range sendersPerPath {
		wg.Go(func() { r.flood(l.to, l.packets, stop, &sent) })
	}
	await(r.t, "first packet", func() bool { return l.forwarded() > 0 })
	start, first, firstSent := time.Now(), l.forwarded(), sent.Load()
	time.Sleep(d)
	n, took := l.forwarded()-first, time.Since(start).Seconds()
	offered = float64(sent.Load()-firstSent) / took
	close(stop)
	wg.Wait()
	return float64(n) / took, offered
}

// BenchmarkForward reports the packets per second of each path under overload;
// one iteration is one packet.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{100, 1200} {
		for _, name := range []string{"bare", "established", "newFlow", "reply"} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				r := newRig(b)
				l := r.benchPaths(size)[name]
				b.ResetTimer()
				have, offered := r.measureRate(l, 400*time.Millisecond)
				b.ReportMetric(have, "packets/s")
				b.ReportMetric(1e9/have, "ns/packet")
				b.ReportMetric(offered/have, "overload")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// syncPath is a forwarding path that a test runs batch by batch in its own
// goroutine.
type syncPath struct {
	in      *batch.Reader
	conn    *batch.Conn
	forward func(*batch.Batch)
	packets [][]byte
	batch   *batch.Batch
}

// syncPaths returns the paths to compare, by name. Each has its own sockets.
func (r *rig) syncPaths(size int) map[string]*syncPath {
	ls := r.benchPaths(size)
	port, hop := portForwarder{b: r.Balancer, port: r.port}, hopForwarder{b: r.Balancer}
	open := func(l string, forward func(*batch.Batch)) *syncPath {
		c, err := listen(loopback)
		r.must(err)
		r.t.Cleanup(func() { c.Close() })
		return &syncPath{
			in: batch.NewReader(c, r.pool), conn: c, forward: forward,
			packets: ls[l].packets, batch: batch.NewPool(1, 0, 1).Get(),
		}
	}
	bare, err := listen(loopback)
	r.must(err)
	r.t.Cleanup(func() { bare.Close() })
	return map[string]*syncPath{
		"bare": open("bare", func(m *batch.Batch) {
			for i := range m.Len() {
				m.Add(m.Packet(i), r.id.Addr)
			}
			m.Send(bare)
		}),
		"established": open("established", port.forward),
		"newFlow":     open("newFlow", port.forward),
		"reply":       open("reply", hop.forward),
	}
}

// runBatch sends one batch to the path, forwards it and returns the CPU time
// that forwarding took.
func (s *syncPath) runBatch(t testing.TB, round int) time.Duration {
	for i := range batch.Size {
		s.batch.Add(s.packets[(round*batch.Size+i)%len(s.packets)], s.conn.Addr())
	}
	s.batch.Send(s.conn)
	start := threadTime(t)
	for left := batch.Size; left > 0; {
		m, err := s.in.Read()
		if err != nil {
			t.Fatal(err)
		}
		s.forward(m)
		left -= m.Len()
	}
	took := threadTime(t) - start
	s.in.Release()
	return took
}

func threadTime(t testing.TB) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		t.Fatal(err)
	}
	return time.Duration(ts.Nano())
}

// TestForwardRatio checks that the data path forwards at least 0.8 times as many
// packets as a bare relay. It compares packets per second of CPU time, because
// wall-clock rates differ by a factor of two between runs on a busy machine, and
// takes the median over batches that alternate between the paths.
func TestForwardRatio(t *testing.T) {
	const (
		goal   = 0.8
		rounds = 400
		size   = 100
	)
	r := newRig(t)
	syncPaths := r.syncPaths(size)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	times := map[string][]time.Duration{}
	for i := range rounds {
		for name, s := range syncPaths {
			times[name] = append(times[name], s.runBatch(t, i))
		}
	}
	median := func(name string) float64 {
		slices.Sort(times[name])
		return float64(times[name][rounds/2]) / batch.Size
	}
	for name := range syncPaths {
		ratio := median("bare") / median(name)
		t.Logf("%s: %.0f ns/packet, %.0f packets/s of CPU time, %.3f of the bare relay", name, median(name), 1e9/median(name), ratio)
		if ratio < goal {
			t.Errorf("%s: want at least %v of the bare relay, have %.3f", name, goal, ratio)
		}
	}
	if n := r.sum(established, newFlow, reply); n != 3*rounds*batch.Size {
		t.Errorf("packets forwarded: want %d, have %d", 3*rounds*batch.Size, n)
	}
}

// TestForwardAllocations guards against heap allocations while packets are
// forwarded.
func TestForwardAllocations(t *testing.T) {
	r := newRig(t)
	for name, s := range r.syncPaths(100) {
		if have := testing.AllocsPerRun(50, func() { s.runBatch(t, 0) }); have != 0 {
			t.Errorf("%s: allocations per batch: want 0, have %v", name, have)
		}
	}
}
