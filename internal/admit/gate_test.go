package admit

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// TestMain fixes the seed of the property tests, so that each run checks the
// same cases. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	m.Run()
}

// testAgents is a set of gates that forward packets to each other.
type testAgents struct {
	now     time.Time
	gates   map[string]*Gate
	waiters map[string]*Waiter
}

func newTestAgents() *testAgents {
	return &testAgents{now: time.Unix(0, 0), gates: map[string]*Gate{}, waiters: map[string]*Waiter{}}
}

func endpoint(name string) ident.EndpointID {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, name[0]}), 1)
	return ident.EndpointID{Addr: a, Instance: ident.Instance(name[0])}
}

func nameOf(e ident.EndpointID) string { return string(rune(e.Instance)) }

func header(list []string) encap.Header {
	h := encap.Header{Kind: encap.NewFlow, Count: uint8(len(list)), Instance: endpoint(list[0]).Instance}
	for i, n := range list {
		h.Candidates[i].Endpoint = endpoint(n)
	}
	return h
}

// sendFlow sends the first packet of a flow from a balancer and returns its
// path and the last action.
func (s *testAgents) sendFlow(id string, list []string) (path []string, last Action) {
	h := header(list)
	at := list[0]
	for {
		last = s.gates[at].Decide(s.now, []byte(id), &h)
		if last != Forward {
			return append(path, at+":"+last.String()), last
		}
		path = append(path, fmt.Sprintf("%s:%d", at, h.Candidates[indexOf(&h, at)].Depth))
		at = nameOf(h.Candidates[h.Position].Endpoint)
		if h.Instance != endpoint(at).Instance || len(path) > int(h.Count) {
			return append(path, "invalid"), last
		}
	}
}

func indexOf(h *encap.Header, name string) int {
	for i := range h.Count {
		if nameOf(h.Candidates[i].Endpoint) == name {
			return int(i)
		}
	}
	return 0
}

// TestGate checks the placement rules and the order of the queue against the
// files in testdata.
func TestGate(t *testing.T) {
	datadriven.Walk(t, "testdata/gate", func(t *testing.T, path string) {
		s := newTestAgents()
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string { return s.runCommand(t, td) })
	})
}

func (s *testAgents) runCommand(t *testing.T, td *datadriven.TestData) string {
	var (
		at, id, waiterID string
		millis, until    int
		list             string
		on               bool
		l                = Limits{Slots: 2, Queue: 2, Connections: 8}
		cacheSize        = defaultCacheSize
	)
	td.MaybeScanArgs(t, "at", &at)
	td.MaybeScanArgs(t, "id", &id)
	td.MaybeScanArgs(t, "w", &waiterID)
	td.MaybeScanArgs(t, "list", &list)
	td.MaybeScanArgs(t, "on", &on)
	td.MaybeScanArgs(t, "millis", &millis)
	td.MaybeScanArgs(t, "deadline", &until)
	td.MaybeScanArgs(t, "slots", &l.Slots)
	td.MaybeScanArgs(t, "queue", &l.Queue)
	td.MaybeScanArgs(t, "connections", &l.Connections)
	td.MaybeScanArgs(t, "memory", &cacheSize)
	g := s.gates[at]
	switch td.Cmd {
	case "agent":
		s.gates[at] = New(l, WithCacheSize(cacheSize))
	case "pass":
		s.now = s.now.Add(time.Duration(millis) * time.Millisecond)
	case "flow":
		path, _ := s.sendFlow(id, strings.Split(list, "-"))
		return strings.Join(path, " ") + "\n"
	case "opened":
		g.FlowOpened(s.now)
	case "requested":
		g.FlowRequested(s.now)
	case "closed":
		g.FlowClosed(s.now)
	case "drain":
		g.SetDraining(on)
	case "limits":
		return s.startedNames(g.SetLimits(s.now, l)...)
	case "arrive":
		var deadline time.Time
		if until != 0 {
			deadline = s.now.Add(time.Duration(until) * time.Millisecond)
		}
		v, w := g.Arrive(s.now, deadline)
		if w != nil {
			s.waiters[waiterID] = w
		}
		return string(v) + "\n"
	case "finish":
		return s.startedNames(g.Finish(s.now))
	case "cancel":
		g.Cancel(s.waiters[waiterID])
	case "state":
		return fmt.Sprintf("%d\n", s.waiters[waiterID].State())
	case "stats":
		return fmt.Sprintf("%+v depth=%d\n", g.Stats(s.now), g.Depth(s.now))
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

func (s *testAgents) startedNames(ws ...*Waiter) string {
	var names []string
	for _, w := range ws {
		for n, v := range s.waiters {
			if v == w {
				names = append(names, n)
			}
		}
	}
	return "started: " + strings.Join(names, " ") + "\n"
}

// requestModel is the model with which TestRequestsProperty compares a gate.
type requestModel struct {
	gate    *Gate
	limits  Limits
	now     time.Time
	waiters []*Waiter
	ended   map[*Waiter]State
	running int
}

func drawLimits(t *rapid.T) Limits {
	return Limits{Slots: rapid.IntRange(1, 4).Draw(t, "slots"), Queue: rapid.IntRange(0, 4).Draw(t, "queue")}
}

// recordEnded records the waiters that ended and checks that each ends once.
func (m *requestModel) recordEnded(t *rapid.T) {
	for _, w := range m.waiters {
		old, was := m.ended[w]
		done := false
		select {
		case <-w.Done():
			done = true
		default:
		}
		if done != (w.State() != Waiting) || was && old != w.State() {
			t.Fatalf("waiter: want state %d, have %d with done %t", old, w.State(), done)
		}
		if done && !was {
			m.ended[w] = w.State()
			if w.State() == Started {
				m.running++
			}
		}
	}
}

func (m *requestModel) check(t *rapid.T) {
	m.recordEnded(t)
	queued := len(m.waiters) - len(m.ended)
	if m.gate.running != m.running || m.gate.queue.Len() != queued {
		t.Fatalf("want running %d, queued %d, have %d, %d", m.running, queued, m.gate.running, m.gate.queue.Len())
	}
	if queued > 0 && m.running < m.limits.Slots {
		t.Fatal("a request waits although a slot is free")
	}
}

func (m *requestModel) arrive(t *rapid.T) {
	var deadline time.Time
	if d := rapid.IntRange(0, 5).Draw(t, "deadline"); d > 0 {
		deadline = m.now.Add(time.Duration(d))
	}
	v, w := m.gate.Arrive(m.now, deadline)
	if (v == Wait) != (w != nil) {
		t.Fatalf("verdict %s with waiter %v", v, w)
	}
	switch v {
	case Run:
		m.running++
	case Wait:
		m.waiters = append(m.waiters, w)
	}
	if v == Run && m.running > m.limits.Slots || v == Wait && m.gate.queue.Len() > m.limits.Queue {
		t.Fatalf("verdict %s with running %d, queued %d, limits %+v", v, m.running, m.gate.queue.Len(), m.limits)
	}
}

func (m *requestModel) finish(t *rapid.T) {
	if m.running == 0 {
		return
	}
	m.running--
	if w := m.gate.Finish(m.now); w != nil && m.running >= m.limits.Slots {
		t.Fatalf("started a request while %d ran with %d slots", m.running, m.limits.Slots)
	}
}

func (m *requestModel) setLimits(t *rapid.T) {
	m.limits = drawLimits(t)
	n := len(m.gate.SetLimits(m.now, m.limits))
	if n > 0 && m.running+n > m.limits.Slots {
		t.Fatalf("started %d requests while %d ran with %d slots", n, m.running, m.limits.Slots)
	}
}

// TestRequestsProperty checks the bounds of slots and queue, and that every
// waiter ends exactly once, under changing limits and deadlines.
func TestRequestsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &requestModel{limits: drawLimits(t), now: time.Unix(0, 0), ended: map[*Waiter]State{}}
		m.gate = New(m.limits)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive,
			"finish": m.finish,
			"limits": m.setLimits,
			"cancel": func(t *rapid.T) {
				if len(m.waiters) > 0 {
					m.gate.Cancel(rapid.SampledFrom(m.waiters).Draw(t, "waiter"))
				}
			},
			"pass": func(*rapid.T) { m.now = m.now.Add(2) },
			"":     m.check,
		})
	})
}

// TestPlacementProperty guards against forwarding loops. With differing views,
// draining agents, full caches and retransmissions a packet is forwarded at
// most Count times, and repeated packets with the same list end at the same
// agent.
func TestPlacementProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newTestAgents()
		names := []string{"a", "b", "c", "d"}
		for _, n := range names {
			l := Limits{Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Queue: 4, Connections: rapid.IntRange(1, 20).Draw(t, "connections")}
			s.gates[n] = New(l, WithCacheSize(rapid.IntRange(1, 64).Draw(t, "memory")))
		}
		t.Repeat(map[string]func(*rapid.T){
			"flow": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"f1", "f2", "f3", "f4"}).Draw(t, "id")
				list := rapid.Permutation(names).Draw(t, "list")[:rapid.IntRange(1, encap.MaxCandidates).Draw(t, "count")]
				path, last := s.sendFlow(id, list)
				if last == Forward {
					t.Fatalf("path %v does not end", path)
				}
				again, _ := s.sendFlow(id, list)
				if last == Take && again[len(again)-1] != path[len(path)-1] {
					t.Fatalf("path of the first packet %v, of the second %v", path, again)
				}
			},
			"drain": func(t *rapid.T) {
				s.gates[rapid.SampledFrom(names).Draw(t, "agent")].SetDraining(rapid.Bool().Draw(t, "on"))
			},
			"arrive": func(t *rapid.T) {
				s.gates[rapid.SampledFrom(names).Draw(t, "agent")].Arrive(s.now, time.Time{})
			},
			"pass": func(*rapid.T) { s.now = s.now.Add(300 * time.Millisecond) },
		})
	})
}
