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

// simulation drives a Checker in steps of 50 ms of simulated time.
type simulation struct {
	health  *Checker
	now     time.Duration
	targets map[view.Key]bool
	// answers maps the endpoints that answer every probe to the instance in the
	// answer.
	answers map[view.Key]ident.Instance
	// refusing holds the endpoints that take no new work.
	refusing map[view.Key]bool
	// sent counts the probes since the last "sent" command.
	sent int
	// out collects the output of one command.
	out strings.Builder
}

func key(n int) view.Key {
	a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
	return view.Key{Hop: a, Instance: ident.Instance(n)}
}

func (s *simulation) writeEvents(es []Event) {
	names := map[Verdict]string{Down: "down", Up: "up", Refusing: "refusing", Gone: "gone"}
	slices.SortFunc(es, func(a, b Event) int { return int(a.Key.Instance) - int(b.Key.Instance) })
	for _, e := range es {
		fmt.Fprintf(&s.out, "%v: %d %s\n", s.now, e.Key.Instance, names[e.Verdict])
	}
}

func (s *simulation) step() {
	a := s.health.Tick(s.now)
	s.writeEvents(a.Events)
	for _, k := range a.Probe {
		s.health.ProbeSent(s.now, k)
		s.sent++
		if i, ok := s.answers[k]; ok {
			s.writeEvents(s.health.Answer(s.now, k, i, s.refusing[k]))
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += 50 * time.Millisecond
		s.step()
	}
}

func (s *simulation) command(t *testing.T, d *datadriven.TestData) string {
	s.out.Reset()
	var n, millis, instance int
	d.MaybeScanArgs(t, "n", &n)
	d.MaybeScanArgs(t, "ms", &millis)
	d.MaybeScanArgs(t, "instance", &instance)
	duration := time.Duration(millis) * time.Millisecond
	switch d.Cmd {
	case "reset":
		*s = simulation{
			health:  New(func() float64 { return 0.5 }),
			targets: map[view.Key]bool{}, answers: map[view.Key]ident.Instance{}, refusing: map[view.Key]bool{},
		}
	case "target":
		s.targets[key(n)] = d.HasArg("assigned")
		s.health.SetTargets(s.now, s.targets)
	case "answers":
		s.answers[key(n)] = ident.Instance(instance)
		s.refusing[key(n)] = d.HasArg("refusing")
	case "silent":
		delete(s.answers, key(n))
	case "run":
		s.run(duration)
	case "pause":
		s.now += duration
	case "sent":
		fmt.Fprintf(&s.out, "%d\n", s.sent)
		s.sent = 0
	case "heard":
		s.writeEvents(s.health.RecordPacket(s.now, key(n)))
	case "broken":
		s.health.SessionBroken(s.now, key(n))
	case "unanswered":
		s.health.FlowsUnanswered(s.now, s.now-duration, key(n))
	case "usable":
		reported := view.Clear
		if d.HasArg("down") {
			reported = view.Down
		}
		if d.HasArg("refusing") {
			reported = view.Refusing
		}
		fmt.Fprintf(&s.out, "%v\n", s.health.Usable(s.now, key(n), reported))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return s.out.String()
}

// TestHealth guards against endpoints that are found down too early, too late
// or never, in particular by a balancer that was itself paused.
func TestHealth(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var sim simulation
		datadriven.RunTest(t, path, sim.command)
	})
}

// TestAssigned guards the distribution of probers: each endpoint must have
// exactly two, evenly spread, and the failure of a balancer must move only the
// endpoints that it probed.
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
				t.Fatalf("endpoint %d is no longer probed by %x, which did not fail", i, b)
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
