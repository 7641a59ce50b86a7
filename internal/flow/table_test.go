package flow

import (
	"net/netip"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// start is the time at which the test cases begin.
	start = time.Second
)

var (
	testCaller = netip.MustParseAddrPort("100.64.0.1:4000")
	testRoute  = netip.MustParseAddrPort("198.18.0.1:443")
	testPeer   = netip.MustParseAddrPort("10.0.0.1:7000")
	testKey    = KeyOf(testCaller, testRoute)
)

// openTable returns a table with one open flow whose upstream's first sequence number
// is 1000.
func openTable(t *testing.T, now time.Duration) *Table {
	t.Helper()
	f := NewTable(4)
	f.AddOpening(now, testKey, testPeer)
	f.FromUpstream(now, testKey, &Packet{Syn: true, Ack: true, Seq: 1000})
	if f.FromCaller(now, testKey, &Packet{Ack: true, Seq: 8, Acked: 1001}, testPeer) == nil {
		t.Fatal("the opened flow is not held")
	}
	return f
}

// TestBusy checks the count of requests in progress, on which admission depends. Each
// request must stop counting eventually, whatever the caller does.
func TestBusy(t *testing.T) {
	request := &Packet{Ack: true, Seq: 8, Acked: 1001, Size: 100}
	answer := &Packet{Ack: true, Seq: 1001, Size: 50}
	for _, c := range []struct {
		name string
		run  func(f *Table)
		at   time.Duration
		want int
	}{
		{"opening flow", func(*Table) {}, 0, 1},
		{"no request comes", func(*Table) {}, 50 * ms, 0},
		{"request", func(f *Table) { f.FromCaller(start, testKey, request, testPeer) }, 50 * ms, 1},
		{"answered", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromUpstream(start+30*ms, testKey, answer)
		}, 50 * ms, 0},
		{"request repeated after the answer", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromUpstream(start+30*ms, testKey, answer)
			f.FromCaller(start+200*ms, testKey, request, testPeer)
		}, 210 * ms, 0},
		{"second request", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromUpstream(start+30*ms, testKey, answer)
			f.FromCaller(start+100*ms, testKey, &Packet{Ack: true, Seq: 108, Acked: 1051, Size: 100}, testPeer)
		}, 110 * ms, 1},
		{"caller resets", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromCaller(start+10*ms, testKey, &Packet{Rst: true}, testPeer)
		}, 50 * ms, 0},
		{"upstream closes", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromUpstream(start+10*ms, testKey, &Packet{Fin: true})
		}, 50 * ms, 0},
		{"caller closes without an answer", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.FromCaller(start+10*ms, testKey, &Packet{Ack: true, Fin: true, Seq: 108, Acked: 1001}, testPeer)
		}, 50 * ms, 0},
		{"dropped", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			f.Drop(testKey)
		}, 50 * ms, 0},
		{"no answer at all", func(f *Table) {
			f.FromCaller(start, testKey, request, testPeer)
			for now := time.Duration(0); now < 3*time.Second; now += 250 * ms {
				f.Sweep(start+now, time.Minute)
			}
		}, 3 * time.Second, 0},
	} {
		f := openTable(t, start)
		c.run(f)
		if have := f.Busy(start + c.at); have != c.want {
			t.Errorf("%s: want %d requests in progress, have %d", c.name, c.want, have)
		}
	}
}

// TestWork checks the mean time of requests. Answers count once, also if the upstream
// closes the flow after the answer or the FIN overtakes the data.
func TestWork(t *testing.T) {
	end, answer := &Packet{Ack: true, Fin: true, Seq: 1051}, &Packet{Ack: true, Seq: 1001, Size: 50}
	for name, packets := range map[string][]*Packet{"open": {answer}, "closed": {answer, end}, "overtaken": {end, answer}} {
		f := openTable(t, start)
		f.FromCaller(start, testKey, &Packet{Ack: true, Seq: 8, Acked: 1001, Size: 100}, testPeer)
		for _, p := range packets {
			f.FromUpstream(start+200*ms, testKey, p)
		}
		if want := initialWork + (200*ms-initialWork)/averageSamples; f.Work() != want {
			t.Errorf("%s: want a mean of %v, have %v", name, want, f.Work())
		}
	}
}

// TestSeveralAnswers checks flows that several upstreams have answered: the one whose
// sequence number the caller acknowledges holds the flow.
func TestSeveralAnswers(t *testing.T) {
	f := NewTable(4)
	first := &Packet{Ack: true, Seq: 8, Acked: 5001}
	if f.FromCaller(0, testKey, first, testPeer) != nil {
		t.Error("an unknown flow is held")
	}
	f.AddOpening(0, testKey, testPeer)
	if f.FromCaller(0, testKey, first, testPeer) != nil {
		t.Error("a flow that the upstream has not answered is held")
	}
	f.FromUpstream(0, testKey, &Packet{Syn: true, Ack: true, Seq: 90000})
	if f.FromCaller(0, testKey, first, testPeer) != nil {
		t.Error("a flow of another upstream is held")
	}
	f.FromUpstream(0, testKey, &Packet{Syn: true, Ack: true, Seq: 5000})
	if e := f.FromCaller(0, testKey, first, testPeer); e == nil || !e.Open() {
		t.Error("the flow is not held")
	}
}

// TestSweep checks the limit of the table and the time for which ended flows are kept.
func TestSweep(t *testing.T) {
	f := openTable(t, 0)
	for n := range 3 {
		f.AddOpening(0, KeyOf(testCaller, netip.AddrPortFrom(testRoute.Addr(), uint16(1+n))), testPeer)
	}
	if f.AddOpening(0, KeyOf(testCaller, netip.AddrPortFrom(testRoute.Addr(), 9)), testPeer) != nil {
		t.Error("the table holds more flows than its limit")
	}
	f.Sweep(3*time.Second, time.Minute)
	if f.Len() != 1 {
		t.Errorf("flows that never opened: want 1 left, have %d", f.Len())
	}
	f.FromCaller(10*time.Second, testKey, &Packet{Fin: true, Acked: 1001}, testPeer)
	f.FromUpstream(10*time.Second, testKey, &Packet{Fin: true})
	f.Sweep(12*time.Second, time.Minute)
	if f.Len() != 1 {
		t.Error("an ended flow is dropped before its last packets can arrive")
	}
	f.Sweep(20*time.Second, time.Minute)
	if f.Len() != 0 {
		t.Error("an ended flow is still kept after its timeout")
	}
}

// TestHints checks the limit of the cache, the shorter lifetime of hints of ended flows
// and that only the named agent can drop a hint.
func TestHints(t *testing.T) {
	h := NewHints(time.Minute, 3*time.Second, 2)
	a := Hint{Agent: testPeer, Service: 7}
	h.Put(0, testKey, a)
	if have, ok := h.Carry(time.Second, testKey, &Packet{Fin: true}); !ok || have != a {
		t.Errorf("have %+v, %v", have, ok)
	}
	if _, ok := h.Get(5*time.Second, testKey); ok {
		t.Error("the hint of an ended flow has not expired")
	}
	other := KeyOf(testCaller, netip.AddrPortFrom(testRoute.Addr(), 1))
	h.Put(5*time.Second, other, a)
	h.Put(5*time.Second, KeyOf(testCaller, netip.AddrPortFrom(testRoute.Addr(), 2)), a)
	if h.Len() != 2 {
		t.Errorf("want 2 hints, have %d", h.Len())
	}
	h.Drop(other, netip.MustParseAddrPort("10.0.0.9:1"))
	if _, ok := h.Get(5*time.Second, other); !ok {
		t.Error("another agent drops the hint")
	}
	if h.Drop(other, testPeer); h.Len() != 1 {
		t.Error("the hint is not dropped")
	}
}

// TestClaims checks which hint is in force after a sequence of events, and whether it is
// confirmed. Only that lets a balancer reset the flow without asking other agents.
func TestClaims(t *testing.T) {
	first := uint32(0xffffffff)
	a, b := netip.MustParseAddrPort("10.0.0.1:8000"), netip.MustParseAddrPort("10.0.0.2:8000")
	put := func(h Hint) func(*Hints) { return func(hs *Hints) { hs.Put(0, testKey, h) } }
	carry := func(acked uint32) func(*Hints) {
		return func(hs *Hints) { hs.Carry(0, testKey, &Packet{Ack: true, Acked: acked}) }
	}
	reopen := func(hs *Hints) { hs.Reopen(testKey) }
	claimA, claimB := put(Hint{Agent: a, First: first, Answered: true}), put(Hint{Agent: b, First: 1 << 30, Answered: true})
	vagueA, openA, openB := put(Hint{Agent: a}), put(Hint{Agent: a, Confirmed: true}), put(Hint{Agent: b, Confirmed: true})
	ackA, later := carry(first+1), carry(first+1<<20)
	for name, c := range map[string]struct {
		events    []func(*Hints)
		agent     netip.AddrPort
		confirmed bool
	}{
		"claim":                               {[]func(*Hints){claimA}, a, false},
		"later claim":                         {[]func(*Hints){claimA, claimB}, b, false},
		"acknowledged":                        {[]func(*Hints){claimA, ackA, later}, a, true},
		"claim after acknowledgement":         {[]func(*Hints){claimA, ackA, claimB}, a, true},
		"acknowledgement of another upstream": {[]func(*Hints){claimB, ackA}, b, false},
		"late in the flow":                    {[]func(*Hints){claimA, later}, a, false},
		"first number unknown":                {[]func(*Hints){vagueA, ackA}, a, false},
		"claim after a packet":                {[]func(*Hints){vagueA, ackA, claimB}, a, false},
		"agent holds the open flow":           {[]func(*Hints){openA, ackA, claimB}, a, true},
		"agent corrects a claim":              {[]func(*Hints){claimA, ackA, vagueA}, a, false},
		"repeated":                            {[]func(*Hints){claimA, ackA, claimA}, a, true},
		"two hold an open flow":               {[]func(*Hints){openA, openB}, b, false},
		"another agent after a claim":         {[]func(*Hints){claimA, carry(1 << 29), openB}, b, true},
		"another flow from the address":       {[]func(*Hints){claimA, ackA, carry(1 << 31)}, a, false},
		"opened again elsewhere":              {[]func(*Hints){claimA, ackA, reopen, claimB}, b, false},
	} {
		h := NewHints(time.Minute, time.Second, 1)
		for _, e := range c.events {
			e(h)
		}
		if have, _ := h.Get(0, testKey); have.Agent != c.agent || have.Confirmed != c.confirmed {
			t.Errorf("%s: want agent %v, confirmed %v, have %+v", name, c.agent, c.confirmed, have)
		}
	}
}

// TestAtOnce checks how many requests are in progress beside one, and whether it ends
// before those, from which the room of the upstream is measured. Flows without a request
// do not count.
func TestAtOnce(t *testing.T) {
	f := openTable(t, 0)
	request, answer := &Packet{Ack: true, Seq: 8, Acked: 1001, Size: 100}, &Packet{Ack: true, Seq: 1001, Size: 50}
	other, idle := KeyOf(testCaller, testPeer), KeyOf(testPeer, testRoute)
	for _, k := range []Key{other, idle} {
		f.AddOpening(0, k, testPeer)
		f.FromUpstream(0, k, &Packet{Syn: true, Ack: true, Seq: 1000})
	}
	f.FromCaller(ms, testKey, request, testPeer)
	f.FromCaller(2*ms, other, request, testPeer)
	a, b := f.Get(testKey), f.Get(other)
	if a.AtOnce() != 1 || b.AtOnce() != 2 {
		t.Errorf("want 1 and 2 at once, have %d and %d", a.AtOnce(), b.AtOnce())
	}
	if !f.EndsFirst(b) {
		t.Error("want the second request to end first")
	}
	f.FromUpstream(3*ms, testKey, answer)
	if f.EndsFirst(b) {
		t.Error("want the second request not to end first after the end of the other")
	}
	f.FromUpstream(4*ms, other, answer)
	f.FromCaller(5*ms, other, &Packet{Ack: true, Seq: 108, Acked: 1051, Size: 100}, testPeer)
	if b.AtOnce() != 1 || !f.EndsFirst(b) {
		t.Errorf("a further request alone: want 1 at once and first, have %d", b.AtOnce())
	}
}

// TestIsCopy checks that a late copy of an opening packet is told from that of another flow
// from the same address.
func TestIsCopy(t *testing.T) {
	opened := openTable(t, start)
	opened.Get(testKey).SetOpening(7)
	found := NewTable(4)
	found.AddEstablished(start, testKey)
	found.FromUpstream(start, testKey, &Packet{Ack: true, Seq: 1001, Acked: 500})
	unopened := NewTable(4)
	unopened.AddOpening(start, testKey, testPeer)
	attempted := NewTable(4)
	attempted.AddOpening(start, testKey, testPeer).SetOpening(1 << 30)
	attempted.FromUpstream(start, testKey, &Packet{Syn: true, Ack: true, Seq: 1000})
	attempted.FromCaller(start, testKey, &Packet{Ack: true, Seq: 8, Acked: 1001}, testPeer)
	for _, c := range []struct {
		name  string
		table *Table
		seq   uint32
		want  bool
	}{
		{"the same", opened, 7, true},
		{"another", opened, 8, false},
		{"before what the caller has sent", found, 499, true},
		{"after it", found, 501, false},
		{"far before it", found, 1 << 31, false},
		{"not open yet", unopened, 9, true},
		{"after an earlier attempt", attempted, 7, true},
		{"of the earlier attempt", attempted, 1 << 30, false},
	} {
		e := c.table.Get(testKey)
		if have := e.IsCopy(&Packet{Syn: true, Seq: c.seq}); have != c.want {
			t.Errorf("%s: want %v, have %v", c.name, c.want, have)
		}
	}
}
