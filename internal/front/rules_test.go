package front

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

// quietCore returns a balancer that logs nothing.
func quietCore(s CoreConfig) *Core {
	c := NewCore(0, s, flow.Codec{})
	l := logrus.New()
	l.SetOutput(io.Discard)
	c.Log = logrus.NewEntry(l)
	return c
}

// TestRulesWithoutServices guards the rates of cold upstreams during a rolling update: a
// balancer of an earlier version passes the configuration on without them, and the same
// one then arrives from the platform.
func TestRulesWithoutServices(t *testing.T) {
	table := func(g ident.Generation, services ...rules.Service) *rules.Table {
		r, err := rules.New(rules.Config{Generation: g, IdleMillis: 1000, Services: services, Routes: []rules.Route{{
			Addr: netip.MustParseAddrPort("198.18.0.1:80"), Shares: []rules.Share{{Service: "s", Weight: 1}},
		}}})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	cold := rules.Service{Name: "s", ColdRate: 10, WarmupMillis: 4000}
	c := quietCore(CoreConfig{Name: "z", Place: "a", ConfigLimit: time.Hour})
	for _, step := range []struct {
		name    string
		table   *rules.Table
		want    bool
		limited int
	}{
		{"from an earlier version", table(3), true, 0},
		{"the same again", table(3), false, 0},
		{"with rates", table(3, cold), true, 1},
		{"with rates again", table(3, cold), false, 1},
		{"from an earlier version again", table(3), false, 1},
		{"an older one", table(2, cold), false, 1},
		{"a newer one without rates", table(4), true, 0},
		{"an older one with rates", table(3, cold), false, 0},
	} {
		if have := c.SetRules(step.table, step.name); have != step.want || len(c.limited) != step.limited {
			t.Errorf("%s: want in force %v and %d limits, have %v and %d", step.name, step.want, step.limited, have, len(c.limited))
		}
		if _, limited := c.limited[frame.ServiceIDOf("s")]; limited != (step.limited > 0) {
			t.Errorf("%s: limited: %v", step.name, limited)
		}
	}
}
