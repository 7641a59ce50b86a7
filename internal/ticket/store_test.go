package ticket

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

func endpoint(port uint16, i ident.Instance) ident.EndpointID {
	return ident.EndpointID{Addr: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Instance: i}
}

// TestStore checks the decisions on single tickets against the files in
// testdata.
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		l := Limits{Tickets: 3, AnswerBytes: 1000, TotalBytes: 1500, Unused: time.Minute, Keep: time.Minute}
		issuer := NewIssuer(endpoint(1, 1), []byte("key"))
		st := NewStore(issuer, l)
		others := map[string]*Issuer{
			"agent":    NewIssuer(endpoint(2, 1), []byte("key")),
			"instance": NewIssuer(endpoint(1, 2), []byte("key")),
			"mac":      NewIssuer(endpoint(1, 1), []byte("other")),
		}
		start := time.Unix(0, 0)
		now := start
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var serial, size int
			var from, request string
			d.MaybeScanArgs(t, "serial", &serial)
			d.MaybeScanArgs(t, "size", &size)
			d.MaybeScanArgs(t, "from", &from)
			d.MaybeScanArgs(t, "request", &request)
			var hash Hash
			copy(hash[:], request)
			s := Serial(serial)
			switch d.Cmd {
			case "at":
				var seconds int
				d.ScanArgs(t, "seconds", &seconds)
				now = start.Add(time.Duration(seconds) * time.Second)
				return ""
			case "issue":
				_, reason := st.Issue(now)
				return fmt.Sprintf("last=%d reason=%q", st.last, reason)
			case "begin":
				m := issuer
				if from != "" {
					m = others[from]
				}
				return show(st.Begin(now, m.Text(s), hash))
			case "text":
				return show(st.Begin(now, d.Input, hash))
			case "call":
				st.MarkCalled(s)
				return ""
			case "refuse":
				return fmt.Sprint(st.Refuse(now, s, "queue full"))
			case "finish":
				return fmt.Sprint(st.Finish(now, s, &Answer{Status: 200, Body: make([]byte, size)}))
			case "lose":
				st.Forget(s)
				return ""
			case "size":
				return fmt.Sprintf("%+v", st.Size())
			}
			t.Fatalf("unknown command %q", d.Cmd)
			return ""
		})
	})
}

func show(d Decision) string {
	name := map[Action]string{Run: "run", Wait: "wait", Replay: "replay", NotRun: "not-run", Unknown: "unknown"}[d.Action]
	if d.Answer != nil {
		return fmt.Sprintf("%s %d octets", name, len(d.Answer.Body))
	}
	if d.Reason != "" {
		return fmt.Sprintf("%s: %s", name, d.Reason)
	}
	return name
}

// storeModel records what callers were told and which requests the upstream
// received.
type storeModel struct {
	store              *Store
	issuer             *Issuer
	now                time.Time
	begun, ran, denied map[Serial]bool
}

func (m *storeModel) pick(t *rapid.T) Serial {
	return Serial(rapid.Uint64Range(1, uint64(m.store.last)+1).Draw(t, "serial"))
}

func (m *storeModel) begin(t *rapid.T) {
	s := m.pick(t)
	switch d := m.store.Begin(m.now, m.issuer.Text(s), Hash{}); d.Action {
	case Run:
		if m.begun[s] || m.denied[s] {
			t.Fatalf("serial %d runs again: begun %v, denied %v", s, m.begun[s], m.denied[s])
		}
		m.begun[s] = true
	case NotRun:
		if m.ran[s] {
			t.Fatalf("not-run for serial %d, which ran", s)
		}
		m.denied[s] = true
	case Replay:
		if !m.ran[s] {
			t.Fatalf("answer for serial %d, which did not run", s)
		}
	}
}

// call takes the part of the agent, which calls the upstream once for a begun
// ticket unless it refused it.
func (m *storeModel) call(t *rapid.T) {
	s := m.pick(t)
	if !m.begun[s] || m.ran[s] || m.denied[s] {
		return
	}
	m.store.MarkCalled(s)
	m.ran[s] = true
}

func (m *storeModel) refuse(t *rapid.T) {
	s := m.pick(t)
	if !m.begun[s] || !m.store.Refuse(m.now, s, "queue full") {
		return
	}
	if m.ran[s] {
		t.Fatalf("serial %d refused after its run", s)
	}
	m.denied[s] = true
}

func (m *storeModel) finish(t *rapid.T) {
	n := rapid.IntRange(0, 1000).Draw(t, "octets")
	m.store.Finish(m.now, m.pick(t), &Answer{Status: 200, Body: make([]byte, n)})
}

func (m *storeModel) lose(t *rapid.T) {
	if s := m.pick(t); m.begun[s] {
		m.store.Forget(s)
	}
}

// TestAtMostOnce guards R4 and R5 under any order of events: a serial runs at
// most once, a serial that ran is never reported as not run, and a serial that
// was reported as not run does not run later.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{Tickets: 6, AnswerBytes: 800, TotalBytes: 1600, Unused: 5 * time.Second, Keep: 5 * time.Second}
		issuer := NewIssuer(endpoint(1, 1), []byte("key"))
		m := &storeModel{
			store: NewStore(issuer, l), issuer: issuer, now: time.Unix(0, 0),
			begun: map[Serial]bool{}, ran: map[Serial]bool{}, denied: map[Serial]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"issue":  func(*rapid.T) { m.store.Issue(m.now) },
			"begin":  m.begin,
			"call":   m.call,
			"refuse": m.refuse,
			"finish": m.finish,
			"lose":   m.lose,
			"advance": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
			},
			"": func(t *rapid.T) { checkSize(t, m.store) },
		})
	})
}

// checkSize compares the size of a store with its limits and its entries.
func checkSize(t *rapid.T, st *Store) {
	sum := 0
	for _, e := range st.entries {
		if e.answer != nil {
			sum += e.answer.size()
		}
	}
	if have := st.Size(); have.Tickets > st.limits.Tickets || have.Bytes > st.limits.TotalBytes || have.Bytes != sum {
		t.Fatalf("want at most %+v and %d bytes, have %+v", st.limits, sum, have)
	}
}
