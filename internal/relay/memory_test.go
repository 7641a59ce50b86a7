package relay

import (
	"bytes"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/batch"
	"github.com/bramleycourse/bramleycourse/internal/connid"
)

// memory returns the heap size after a garbage collection and the resident set
// size, in octets.
func memory(t *testing.T) (heap, resident uint64) {
	t.Helper()
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	b, err := os.ReadFile("/proc/self/status")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); f[0] == "VmRSS:" {
			kib, _ := strconv.ParseUint(f[1], 10, 64)
			return m.HeapAlloc, kib << 10
		}
	}
	t.Fatal("no resident set size in /proc/self/status")
	return 0, 0
}

// TestMemoryPerFlow guards against state that grows with the number of flows.
// 300,000 flows, each with a packet of a new and of an established flow, must
// use as much memory as 1,000 flows, within the bounds below.
func TestMemoryPerFlow(t *testing.T) {
	const (
		few, many = 1000, 300_000
		// heapBound is less than 1 octet per flow, residentBound less than 14.
		heapBound     = 256 << 10
		residentBound = 4 << 20
		// window is the number of packets in flight; more might overflow a
		// socket buffer.
		window = batch.Size
	)
	r := newRig(t)
	r.drainSocket(r.agent)
	caller, err := batch.NewConn(r.socket())
	r.must(err)
	m := batch.NewPool(1, 0, 1).Get()
	sent, end := uint64(0), time.Now().Add(6*testLimit)
	flows := func(from, to int) {
		for i := from; i < to; i++ {
			id := r.keys.Load().Encode(connid.Target{Endpoint: r.id, Service: listas}, uint32(i))
			m.Add(initial(randomID(uint64(i)), 60), r.port.conn.Addr())
			m.Add(short(id, 60), r.port.conn.Addr())
			if sent += 2; sent%window == 0 || i == to-1 {
				m.Send(caller)
				for r.sum(established, newFlow) != sent {
					if runtime.Gosched(); time.Now().After(end) {
						t.Fatalf("packets forwarded: want %d, have %d", sent, r.sum(established, newFlow))
					}
				}
			}
		}
	}
	flows(0, few)
	heapFew, residentFew := memory(t)
	flows(few, many)
	heapMany, residentMany := memory(t)
	if n := r.sum(established); n != many {
		t.Errorf("flows forwarded: want %d, have %d", many, n)
	}
	t.Logf("heap %d and %d, resident %d and %d octets with %d and %d flows", heapFew, heapMany, residentFew, residentMany, few, many)
	if heapMany > heapFew+heapBound {
		t.Errorf("heap: want at most %d octets more than %d, have %d", heapBound, heapFew, heapMany)
	}
	if residentMany > residentFew+residentBound {
		t.Errorf("resident set: want at most %d octets more than %d, have %d", residentBound, residentFew, residentMany)
	}
}

// TestCountReport guards against logging one line per refused packet, and
// against refusals that are never logged.
func TestCountReport(t *testing.T) {
	r := newRig(t)
	var out bytes.Buffer
	r.frame.Log.Logger.SetOutput(&out)
	report := countReporter{b: r.Balancer}
	start := time.Now()
	for _, c := range []struct {
		after time.Duration
		add   []outcome
		want  []string
	}{
		{0, []outcome{established}, nil},
		{time.Second, []outcome{wrongService, wrongService, hopCheck}, []string{"reason=wrongService", "reason=hopCheck"}},
		{2 * time.Second, []outcome{wrongService, malformed}, []string{"reason=malformed"}},
		{12 * time.Second, []outcome{wrongService}, []string{"packets=1 reason=wrongService role=balancer source=\"127.0.0.1:7\""}},
		{40 * time.Second, nil, nil},
	} {
		out.Reset()
		var n batchCount
		for _, o := range c.add {
			n.add(o, netip.MustParseAddrPort("127.0.0.1:7"))
		}
		n.flush(&r.counts)
		report.report(start.Add(c.after))
		if lines := strings.Count(out.String(), "reason="); lines != len(c.want) {
			t.Errorf("after %v: want %d lines, have %q", c.after, len(c.want), out.String())
		}
		for _, w := range c.want {
			if !strings.Contains(out.String(), w) {
				t.Errorf("after %v: want %q, have %q", c.after, w, out.String())
			}
		}
	}
}
