package shed

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	ms     = time.Millisecond
	listas = frame.ServiceID(7)
)

// busyLoad is the load of an upstream with three slots that gets more than it serves.
func busyLoad(ahead int) Load {
	return Load{Ahead: ahead, Waiting: ahead, Busy: 5, Spent: 60 * ms, Lead: 90 * ms, Arriving: 120}
}

// TestRefuses checks both errors of an agent: a request that is refused could not have
// been in time, and one that is taken can be.
func TestRefuses(t *testing.T) {
	request := Request{Objective: 250 * ms, Deadline: 1200 * ms}
	with := func(change func(*Request)) Request { r := request; change(&r); return r }
	calm := busyLoad(20)
	calm.Arriving = 20
	for _, c := range []struct {
		name string
		load Load
		r    Request
		want bool
	}{
		{"short queue", busyLoad(4), request, false},
		{"long queue", busyLoad(20), request, true},
		{"the burst is over, so that it is served late", calm, request, false},
		{"the burst is over, but its deadline is near", calm, with(func(r *Request) { r.Age = 900 * ms }), true},
		{"little of its objective is left", busyLoad(4), with(func(r *Request) { r.Age = 120 * ms }), true},
		{"it may wait for ten seconds", busyLoad(20), with(func(r *Request) { r.Deadline = 10 * time.Second }), false},
		{"it has waited for eight of them", busyLoad(20), with(func(r *Request) { r.Deadline, r.Age = 10*time.Second, 8*time.Second }), true},
		{"its account presses", busyLoad(4), with(func(r *Request) { r.Pressing = true }), true},
		{"it was rejected a moment ago", busyLoad(7), with(func(r *Request) { r.Again = true }), true},
		{"its deadline is near", busyLoad(20), Request{Deadline: 200 * ms}, true},
		{"some slow requests have lengthened the means", Load{Busy: 5, Spent: 350 * ms, Left: 80, Lead: 500 * ms, Arriving: 120}, request, false},
		{"no objective", busyLoad(20), Request{Deadline: time.Second}, false},
		{"nothing known", busyLoad(20), Request{}, false},
	} {
		if have := c.load.Refuses(c.r); have != c.want {
			t.Errorf("%s: want refused %v, have %v", c.name, c.want, have)
		}
	}
}

// TestUrgentBefore checks that a request which is not urgent expects to wait for the
// urgent ones that will come, and that the measured rate of answers counts.
func TestUrgentBefore(t *testing.T) {
	l := busyLoad(4)
	before := l.Time()
	if l.Before = 60; l.Time() <= before {
		t.Errorf("want more than %v, have %v", before, l.Time())
	}
	l.Before = 0
	if l.Left = 200; l.Time() >= before {
		t.Errorf("more requests leave than the mean time says: want less than %v, have %v", before, l.Time())
	}
}

func TestMeter(t *testing.T) {
	var m Meter
	now := time.Duration(0)
	for range 400 {
		now += 10 * ms
		m.Add(now)
	}
	if have := m.Rate(now); have < 95 || have > 105 {
		t.Errorf("want about 100 events a second, have %.1f", have)
	}
	if have := m.Rate(now + time.Second); have > 20 {
		t.Errorf("a second later: want less than 20, have %.1f", have)
	}
}

// gateLoad plays requests, of three attempts each, at a balancer whose agents take some.
type gateLoad struct {
	gate Gate
	now  time.Duration
	n    int
}

func account(n int) netip.Addr { return netip.AddrFrom4([4]byte{100, 64, byte(n >> 8), byte(n)}) }

var agent = netip.MustParseAddrPort("10.0.0.1:8000")

// play plays requests at a rate for a time. of returns the account of the nth request;
// the result counts the offered and rejected attempts of each. Agents take a rate and
// report a time.
func (g *gateLoad) play(d time.Duration, rate, taken float64, answer time.Duration, of func(n int) int, r Request) (offered, rejected map[int]int) {
	offered, rejected = map[int]int{}, map[int]int{}
	room := 0.0
	for end := g.now + d; g.now < end; g.now += time.Duration(float64(time.Second) / rate) {
		g.n++
		room = min(room+taken/rate, 5)
		for try, a := 0, of(g.n); try < 3; try++ {
			r.Again = try > 0
			v := g.gate.Decide(g.now, listas, Normal, account(a), r, uint64(3*g.n+try)*0x9e3779b97f4a7c15)
			if v.Reject {
				rejected[a]++
				g.gate.Reset(listas, Normal, account(a))
				continue
			}
			offered[a]++
			g.gate.Report(g.now, listas, agent, Times{Normal: answer})
			if room >= 1 {
				room--
				g.gate.Taken(g.now, listas, Normal)
				break
			}
			g.gate.Refused(g.now, listas, Normal, false)
			g.gate.Reset(listas, Normal, account(a))
		}
	}
	return offered, rejected
}

func sum(m map[int]int) (n int) {
	for _, v := range m {
		n += v
	}
	return n
}

var lookup = Request{Objective: 250 * ms, Deadline: 1200 * ms}

// among returns accounts in turn.
func among(n int) func(int) int { return func(i int) int { return i % n } }

// TestGate checks both errors of a balancer: it rejects what agents do not take, less
// the excess that it offers on purpose, and nothing as soon as an agent has room, does
// not report, or takes all; nor does one that has just started.
func TestGate(t *testing.T) {
	overloaded := func() *gateLoad {
		g := &gateLoad{}
		g.play(2*time.Second, 400, 100, 200*ms, among(50), lookup)
		return g
	}
	for _, c := range []struct {
		name     string
		rate     float64
		taken    float64
		time     time.Duration
		from     *gateLoad
		least    float64 // of the requests are rejected
		most     float64
		requests Request
	}{
		{"four times the load", 400, 100, 200 * ms, overloaded(), 0.8, 0.9, lookup},
		{"the balancer has just started", 400, 100, 200 * ms, &gateLoad{}, 0, 0, lookup},
		{"an agent has room", 400, 100, 0, overloaded(), 0, 0.02, lookup},
		{"agents answer in time", 400, 100, 100 * ms, overloaded(), 0, 0.02, lookup},
		{"the burst is over", 90, 400, 0, overloaded(), 0, 0.02, lookup},
		{"patient requests", 400, 100, 200 * ms, overloaded(), 0, 0, Request{Objective: 800 * ms, Deadline: 10 * time.Second}},
	} {
		offered, rejected := c.from.play(200*ms, c.rate, c.taken, c.time, among(50), c.requests)
		if have := float64(sum(rejected)) / float64(sum(offered)+sum(rejected)); have < c.least || have > c.most {
			t.Errorf("%s: want %.2f to %.2f rejected, have %.3f", c.name, c.least, c.most, have)
		}
	}
}

// TestOldReports checks that a balancer offers all requests once it has heard nothing of
// the agents for a while, as when it or they are cut off.
func TestOldReports(t *testing.T) {
	g := &gateLoad{}
	g.play(2*time.Second, 400, 100, 200*ms, among(1), lookup)
	now := g.now + reportLifetime + ms
	for n := range 20 {
		if v := g.gate.Decide(now, listas, Normal, account(0), lookup, uint64(n)<<59); v.Reject || v.Pressing {
			t.Fatalf("want offered, have %+v", v)
		}
	}
	if d, ok := g.gate.Least(now, listas, Normal); ok {
		t.Errorf("want nothing known, have %v", d)
	}
}

// TestUrgentApart checks that requests which are not urgent do not make a balancer
// reject urgent ones.
func TestUrgentApart(t *testing.T) {
	g := &gateLoad{}
	g.play(2*time.Second, 400, 100, 200*ms, among(50), lookup)
	for n := range 100 {
		if v := g.gate.Decide(g.now, listas, Urgent, account(n), lookup, uint64(n)<<57); v.Reject {
			t.Fatalf("want urgent requests offered, have %+v", v)
		}
	}
}

// TestShares checks that an account which sends ten times what others send is rejected
// and marked, and the others are not.
func TestShares(t *testing.T) {
	const others = 40
	g := &gateLoad{}
	of := func(n int) int {
		if n%5 == 0 {
			return others // 80 of 400 a second; each other one 8.
		}
		return n % others
	}
	g.play(2*time.Second, 400, 330, 200*ms, of, lookup)
	offered, rejected := g.play(time.Second, 400, 330, 200*ms, of, lookup)
	for a, n := range rejected {
		if a != others {
			t.Errorf("account %d: %d of %d rejected", a, n, n+offered[a])
		}
	}
	pressing := g.gate.Decide(g.now, listas, Normal, account(others), lookup, 0)
	usual := g.gate.Decide(g.now, listas, Normal, account(1), lookup, 0)
	if !pressing.Pressing || usual.Pressing {
		t.Errorf("want only the account that sends more marked, have %+v and %+v", pressing, usual)
	}
}

// TestSharesOfBalancers checks that a balancer that agents have taken little from gets as
// much as another one with the same demand: shares must follow the demand.
func TestSharesOfBalancers(t *testing.T) {
	const rate, room = 400, 200 // Each balancer has the rate, and the agents take room from both.
	var gates [2]Gate
	offered, now := [2]float64{}, time.Duration(0)
	taken, pressing := [2]float64{0.9 * room, 0.1 * room}, 0
	for second := range 10 {
		offered = [2]float64{}
		for n := range rate {
			now += time.Second / rate
			for b := range gates {
				g := &gates[b]
				g.Report(now, listas, agent, Times{Normal: 200 * ms})
				v := g.Decide(now, listas, Normal, account(n%50), lookup, uint64(rate*second+n)*0x9e3779b97f4a7c15)
				if v.Pressing {
					pressing++
				}
				if v.Reject {
					continue
				}
				offered[b]++
				if float64(n%100)/100 < taken[b]/(rate/2) && second == 0 || second > 0 && float64(n%100)/100 < taken[b] {
					g.Taken(now, listas, Normal)
				} else {
					g.Refused(now, listas, Normal, false)
				}
			}
		}
		// Agents take the same share of all offers.
		part := min(1, room/(offered[0]+offered[1]))
		taken = [2]float64{part, part}
	}
	if pressing > 0 {
		t.Errorf("all accounts send the same: want none marked, have %d requests", pressing)
	}
	if offered[1] < 0.7*offered[0] {
		t.Errorf("want about the same number of offers, have %.0f", offered)
	}
}

// TestLevel checks equal shares: accounts below the level keep what they send.
func TestLevel(t *testing.T) {
	for _, c := range []struct {
		sent  []float32
		total float64
		want  string
	}{
		{[]float32{1, 2, 30}, 13, "10.0"},
		{[]float32{10, 10}, 10, "5.0"},
		{[]float32{1, 2}, 3, "0.0"},
		{nil, 0, "0.0"},
	} {
		var a accounts
		copy(a.sent[:], c.sent)
		if have := fmt.Sprintf("%.1f", a.level(c.total)); have != c.want {
			t.Errorf("%v of %v: want level %s, have %s", c.total, c.sent, c.want, have)
		}
	}
}

// TestBetter checks which agents get a refused request: up and known, in time, the
// quickest first.
func TestBetter(t *testing.T) {
	var g Gate
	at := func(n byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 8000) }
	g.Report(0, listas, at(1), Times{})
	for n, d := range []time.Duration{150 * ms, 0, 100 * ms, 240 * ms, 0} {
		g.Report(time.Second, listas, at(byte(2+n)), Times{Normal: d})
	}
	have := g.Better(time.Second+ms, listas, Normal, lookup, 2, func(a netip.AddrPort) bool { return a == at(6) })
	if want := []netip.AddrPort{at(3), at(4)}; fmt.Sprint(have) != fmt.Sprint(want) {
		t.Errorf("want %v, have %v", want, have)
	}
}
