package plat

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// TestCallMeter checks that repeated calls without changes exceed the budget, and
// that watches which wait or return changes do not.
func TestCallMeter(t *testing.T) {
	watch := Op{Verb: WatchVerb, Wait: 4 * time.Second}
	for _, c := range []struct {
		name    string
		op      Op
		every   time.Duration
		took    time.Duration
		changes int
		over    bool
	}{
		{"full watches", watch, 4 * time.Second, 4 * time.Second, 0, false},
		{"storm of changes", watch, 250 * time.Millisecond, 250 * time.Millisecond, 1, false},
		{"watches that return at once", watch, time.Second, 3 * time.Millisecond, 0, true},
		{"reads in a loop", Op{Verb: ListVerb}, 1800 * time.Millisecond, 4 * time.Millisecond, 30, true},
		{"a read every ten seconds", Op{Verb: ListVerb}, 10 * time.Second, 4 * time.Millisecond, 4, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m callMeter
			now, over, lines := time.Unix(1, 0), 0, 0
			for end := now.Add(time.Minute); now.Before(end); now = now.Add(c.every) {
				o, log := m.record(now, c.op, c.took, c.changes)
				if o {
					over++
				}
				if log {
					lines++
				}
			}
			if (over > 0) != c.over {
				t.Errorf("over the budget: want %v, have %d calls", c.over, over)
			}
			if lines > 6 || (lines > 0) != c.over {
				t.Errorf("want at most one log line every ten seconds, have %d for %d calls", lines, over)
			}
		})
	}
}

// TestOverBudgetLogged checks the log line and the counter of calls over the budget.
func TestOverBudgetLogged(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(List{Version: 7})
	}))
	defer server.Close()
	var out strings.Builder
	log := logrus.New()
	log.SetOutput(&out)
	c := New(server.URL, time.Second)
	c.Log = logrus.NewEntry(log)
	for range 30 {
		if _, err := c.Watch(context.Background(), KindConfig, 7, 10*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	if n := c.Calls.OverBudget.Load(); n < 9 || !c.OverBudget() {
		t.Errorf("want 10 calls over the budget, have %d (over %v)", n, c.OverBudget())
	}
	c.recordCall(Op{Verb: WatchVerb, Wait: time.Second}, time.Now().Add(-time.Second), 0, nil)
	if c.OverBudget() {
		t.Error("still over the budget after a watch that waited")
	}
	if n := strings.Count(out.String(), "event=platformBudget"); n != 1 || !strings.Contains(out.String(), "verb=watch") {
		t.Errorf("want one log line, have %q", out.String())
	}
}
