package budget

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// TestBudget runs the steps of testdata/budget. A step is request=N, retry=N or
// wait=SECONDS; retry prints how many retries were allowed.
func TestBudget(t *testing.T) {
	datadriven.RunTest(t, "testdata/budget", func(t *testing.T, d *datadriven.TestData) string {
		now := time.Unix(0, 0)
		b := New(Default(), now)
		var out string
		for _, line := range d.CmdArgs {
			var n float64
			if _, err := fmt.Sscan(line.Vals[0], &n); err != nil {
				d.Fatalf(t, "%v", err)
			}
			switch line.Key {
			case "wait":
				now = now.Add(time.Duration(n * float64(time.Second)))
			case "request":
				for range int(n) {
					b.Request(now)
				}
			case "retry":
				allowed := 0
				for range int(n) {
					if b.Retry(now) {
						allowed++
					}
				}
				out += fmt.Sprintf("allowed %d of %d\n", allowed, int(n))
			default:
				d.Fatalf(t, "unknown step %q", line.Key)
			}
		}
		return out
	})
}

// TestBudgetBound guards against a time window in which more retries are allowed
// than its requests and its length earn, and against a budget that still refuses a
// retry after the floor has earned one.
func TestBudgetBound(t *testing.T) {
	type event struct {
		at               time.Time
		request, allowed float64
	}
	rapid.Check(t, func(t *rapid.T) {
		c := Config{
			Ratio:          rapid.Float64Range(0, 1).Draw(t, "ratio"),
			FloorPerSecond: rapid.Float64Range(0.1, 5).Draw(t, "floor"),
			Burst:          rapid.Float64Range(1, 20).Draw(t, "burst"),
		}
		now := time.Unix(0, 0)
		b := New(c, now)
		var es []event
		for range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(-50, 2000).Draw(t, "step")) * time.Millisecond)
			e := event{at: now}
			if rapid.Bool().Draw(t, "request") {
				b.Request(now)
				e.request = 1
			} else if b.Retry(now) {
				e.allowed = 1
			}
			es = append(es, e)
		}
		for i := range es {
			var requests, retries float64
			latest := es[i].at
			for _, e := range es[i:] {
				requests += e.request
				retries += e.allowed
				if e.at.After(latest) {
					latest = e.at
				}
				limit := c.Burst + c.Ratio*requests + c.FloorPerSecond*latest.Sub(es[i].at).Seconds()
				if retries > limit+1e-6 {
					t.Fatalf("window from event %d: %v retries, limit %v", i, retries, limit)
				}
			}
		}
		later := now.Add(time.Duration(float64(time.Second)/c.FloorPerSecond) + 7*time.Second)
		if !b.Retry(later) {
			t.Fatalf("retry refused after the floor earned one")
		}
	})
}
