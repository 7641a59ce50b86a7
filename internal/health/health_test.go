package health

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// script runs the decision code in steps of 50 ms of an artificial clock.
type script struct {
	h       *Health
	now     time.Duration
	targets map[view.Key]bool
	// answering holds the endpoints that answer every probe, with their instance.
	answering map[view.Key]ident.Instance
	// refusing holds the endpoints whose answers say that they take no new work.
	refusing map[view.Key]bool
	// sent counts the probes.
	sent int
	out  strings.Builder
}

func key(n int) view.Key {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
	return view.Key{Hop: a, Instance: ident.Instance(n)}
}

func (s *script) report(es []Event) {
	names := map[Verdict]string{Down: "down", Up: "up", Refusing: "refusing", Gone: "gone"}
	slices.SortFunc(es, func(a, b Event) int { return int(a.Key.Instance) - int(b.Key.Instance) })
	for _, e := range es {
		fmt.Fprintf(&s.out, "%v: %d %s\n", s.now, e.Key.Instance, names[e.Verdict])
	}
}

func (s *script) step() {
	a := s.h.Tick(s.now)
	s.report(a.Events)
	for _, k := range a.Probe {
		s.h.Sent(s.now, k)
		s.sent++
		if i, ok := s.answering[k]; ok {
			s.report(s.h.Answer(s.now, k, i, s.refusing[k]))
		}
	}
}

func (s *script) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 50 * time.Millisecond
		s.step()
	}
}

func (s *script) command(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	var n, millis, instance int
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "ms", &millis)
	d.MaybeScanArgs(t, "instance", &instance)
	span := time.Duration(millis) * time.Millisecond
	switch d.Cmd {
	case "reset":
		*s = script{
			h:       New(func() float64 { return 0.5 }),
			targets: map[view.Key]bool{}, answering: map[view.Key]ident.Instance{}, refusing: map[view.Key]bool{},
		}
	case "target":
		s.targets[key(n)] = d.HasArg("assigned")
		s.h.SetTargets(s.now, s.targets)
	case "answers":
		s.answering[key(n)] = ident.Instance(instance)
		s.refusing[key(n)] = d.HasArg("refusing")
	case "silent":
		delete(s.answering, key(n))
	case "run":
		s.run(span)
	case "pause":
		s.now += span
	case "sent":
		fmt.Fprintf(&s.out, "%d\n", s.sent)
		s.sent = 0
	case "heard":
		s.report(s.h.Heard(s.now, key(n)))
	case "broken":
		s.h.SessionBroken(s.now, key(n))
	case "unanswered":
		s.h.Unanswered(s.now, s.now-span, key(n))
	case "usable":
		marked := view.Clear
		if d.HasArg("down") {
			marked = view.Down
		}
		if d.HasArg("refusing") {
			marked = view.Refusing
		}
		fmt.Fprintf(&s.out, "%v\n", s.h.Usable(s.now, key(n), marked))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.out.String()
}

// TestHealth guards the decisions about liveness: late, early or missing down
// verdicts, above all those of a balancer that was itself paused.
func TestHealth(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s script
		datadriven.RunTest(t, path, s.command)
	})
}

// TestAssigned guards the spread of probers: each endpoint has exactly two,
// and the failure of a balancer moves only its own endpoints.
func TestAssigned(t *testing.T) {
	var balancers []uint64
	for i := range 10 {
		k := key(i + 100)
		k.Name = fmt.Sprint("b", i)
		balancers = append(balancers, k.Hash())
	}
	load := map[uint64]int{}
	for i := range 200 {
		for j, b := range balancers {
			before := Assigned(b, key(i).Hash(), balancers)
			if before {
				load[b]++
			}
			if j > 0 && before && !Assigned(b, key(i).Hash(), balancers[1:]) {
				t.Fatalf("endpoint %d left prober %x, which did not fail", i, b)
			}
		}
	}
	total := 0
	for b, n := range load {
		total += n
		if n < 20 || n > 60 {
			t.Errorf("%x probes %d of 200 endpoints, want about 40", b, n)
		}
	}
	if total != 400 {
		t.Errorf("want 2 probers for each of 200 endpoints, have %d in total", total)
	}
}
