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

// lane is a path under load: packets that are sent to an address, and the
// number of packets forwarded.
type lane struct {
	to        netip.AddrPort
	packets   [][]byte
	forwarded func() uint64
}

// floods is the number of senders on a lane. One alone offers little more than
// the bare relay forwards, which hides how much more the bare relay could do.
const floods = 2

// flowsInFlight is the number of distinct packets a lane sends in turn.
const flowsInFlight = 4096

// lanes returns the paths to compare for payloads of size octets.
func (r *rig) lanes(size int) map[string]lane {
	r.drainSocket(r.agent)
	caller := r.socket()
	r.drainSocket(caller)
	var up, opening, down [][]byte
	for i := range flowsInFlight {
		id := r.keys.Load().Encode(connid.Target{Endpoint: r.id, Service: listas}, uint32(i))
		up = append(up, short(id, size))
		opening = append(opening, initial(randomID(uint64(i)), size))
		h := encap.Header{Kind: encap.Reply, Service: listas, Instance: r.id.Instance, Caller: addrOf(caller)}
		down = append(down, r.hopPacket(h, make([]byte, size)))
	}
	var bare atomic.Uint64
	return map[string]lane{
		"bare":        {r.startBare(r.id.Addr, &bare), up, bare.Load},
		"established": {r.port.conn.Addr(), up, func() uint64 { return r.sum(established) }},
		"newFlow":     {r.port.conn.Addr(), opening, func() uint64 { return r.sum(newFlow) }},
		"reply":       {r.hopAddr, down, func() uint64 { return r.sum(reply) }},
	}
}

// rate floods a lane for a while and returns packets forwarded and offered per second.
func (r *rig) rate(l lane, d time.Duration) (forwarded, offered float64) {
	var (
		sent atomic.Uint64
		wg   sync.WaitGroup
	)
	stop := make(chan struct{})
	for range floods {
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
				l := r.lanes(size)[name]
				b.ResetTimer()
				have, offered := r.rate(l, 400*time.Millisecond)
				b.ReportMetric(have, "packets/s")
				b.ReportMetric(1e9/have, "ns/packet")
				b.ReportMetric(offered/have, "overload")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// step is one path that a test drives batch by batch in its own goroutine.
type step struct {
	in      *batch.Reader
	conn    *batch.Conn
	forward func(*batch.Batch)
	packets [][]byte
	batch   *batch.Batch
}

// steps returns the paths to compare; each has sockets of its own.
func (r *rig) steps(size int) map[string]*step {
	ls := r.lanes(size)
	port, hop := portPath{b: r.Balancer, port: r.port}, hopPath{b: r.Balancer}
	open := func(l string, forward func(*batch.Batch)) *step {
		c, err := listen(loopback)
		r.must(err)
		r.t.Cleanup(func() { c.Close() })
		return &step{
			in: batch.NewReader(c, r.pool), conn: c, forward: forward,
			packets: ls[l].packets, batch: batch.NewPool(1, 0, 1).Get(),
		}
	}
	bare, err := listen(loopback)
	r.must(err)
	r.t.Cleanup(func() { bare.Close() })
	return map[string]*step{
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

// run sends one batch into the path, forwards it and returns the CPU time of
// the forwarding.
func (s *step) run(t testing.TB, round int) time.Duration {
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

// TestForwardRatio guards the goal that the data path forwards at least 0.8 of
// the packets of a bare relay. It compares packets per second of CPU time,
// because rates by the clock differ by a factor of two between runs on a
// machine that does other work. The median of alternating batches is compared.
func TestForwardRatio(t *testing.T) {
	const (
		goal   = 0.8
		rounds = 400
		size   = 100
	)
	r := newRig(t)
	steps := r.steps(size)
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	times := map[string][]time.Duration{}
	for i := range rounds {
		for name, s := range steps {
			times[name] = append(times[name], s.run(t, i))
		}
	}
	median := func(name string) float64 {
		slices.Sort(times[name])
		return float64(times[name][rounds/2]) / batch.Size
	}
	for name := range steps {
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

// TestForwardAllocations guards against garbage on the packet path.
func TestForwardAllocations(t *testing.T) {
	r := newRig(t)
	for name, s := range r.steps(100) {
		if have := testing.AllocsPerRun(50, func() { s.run(t, 0) }); have != 0 {
			t.Errorf("%s: allocations for each batch: want 0, have %v", name, have)
		}
	}
}
