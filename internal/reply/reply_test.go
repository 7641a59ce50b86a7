package reply

import (
	"fmt"
	"net/netip"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// balancer returns the address of balancer n.
func balancer(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 7000)
}

func caller(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, byte(n >> 8), byte(n)}), 1234)
}

// number is the inverse of balancer.
func number(a netip.AddrPort) int { return int(a.Addr().As4()[3]) }

// command holds the arguments of a command in a datadriven file.
type command struct {
	balancers     []netip.AddrPort
	millis, times int
}

func parse(t *testing.T, d *datadriven.TestData) command {
	c := command{times: 1}
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "balancers":
			for i := range a.Vals {
				var n int
				a.Scan(t, i, &n)
				c.balancers = append(c.balancers, balancer(n))
			}
		case "millis":
			a.Scan(t, 0, &c.millis)
		case "times":
			a.Scan(t, 0, &c.times)
		}
	}
	return c
}

// TestSet checks when balancers enter and leave the set and how packets are
// distributed, using the files in testdata.
func TestSet(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var s *Set
		now := time.Unix(0, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			c := parse(t, d)
			switch d.Cmd {
			case "new":
				s = New()
			case "newPerPacket":
				s = New(WithPolicy(PerPacket))
			case "known":
				s.SetPingTargets(c.balancers)
			case "delivered":
				for i := range c.times * len(c.balancers) {
					s.MarkReachable(now, c.balancers[i%len(c.balancers)])
				}
			case "draining":
				s.Draining(now, c.balancers[0])
			case "advance":
				now = now.Add(time.Duration(c.millis) * time.Millisecond)
			case "choose":
				return chosenShares(s, now, 3000, d.HasArg("oneCaller"))
			case "ping":
				if a, ok := s.Ping(now); ok {
					return fmt.Sprint(number(a))
				}
				return "none"
			}
			return ""
		})
	})
}

// chosenShares returns the balancers chosen for n packets and the fraction of
// the packets that each gets, to one decimal place.
func chosenShares(s *Set, now time.Time, n int, oneCaller bool) string {
	counts := map[int]int{}
	for i := range n {
		if oneCaller {
			i = 0
		}
		a, ok := s.Choose(now, caller(i))
		if !ok {
			return "none"
		}
		counts[number(a)]++
	}
	var lines []string
	for k, c := range counts {
		lines = append(lines, fmt.Sprintf("%d: %.1f", k, float64(c)/float64(n)))
	}
	sort.Strings(lines)
	return strings.Join(lines, " ")
}

// TestReassignment guards against callers that are assigned to another balancer
// without need: when one of five balancers leaves, only its callers move, and
// when it returns they move back.
func TestReassignment(t *testing.T) {
	s, now := New(), time.Unix(0, 0)
	choose := func() map[int]int {
		m := map[int]int{}
		for i := range 2000 {
			a, _ := s.Choose(now, caller(i))
			m[i] = number(a)
		}
		return m
	}
	for n := range 5 {
		s.MarkReachable(now, balancer(n))
	}
	before := choose()
	s.Draining(now, balancer(2))
	during := choose()
	for i, b := range before {
		if b != 2 && during[i] != b {
			t.Errorf("caller %d moved from %d to %d", i, b, during[i])
		}
		if during[i] == 2 {
			t.Errorf("caller %d still uses the balancer that left", i)
		}
	}
	now = now.Add(drainExclusion)
	for n := range 5 {
		s.MarkReachable(now, balancer(n))
	}
	for i, b := range choose() {
		if b != before[i] {
			t.Errorf("caller %d after the return: want balancer %d, have %d", i, before[i], b)
		}
	}
}
