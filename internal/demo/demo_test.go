package demo

import (
	"encoding/json"
	"os"
	"runtime"
	"sync"
	"testing"
	"time"
)

// TestRun guards the documented JSON fields of the result, against interference
// between two concurrent demos, and against files or goroutines left behind.
func TestRun(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	goroutines := runtime.NumGoroutine()
	var all sync.WaitGroup
	for range 2 {
		all.Go(func() {
			r, err := Run(t.Context(), Options{Steady: time.Second, Settle: 500 * time.Millisecond})
			if err != nil {
				t.Error(err)
				return
			}
			checkResult(t, r)
		})
	}
	all.Wait()
	if left, err := os.ReadDir(dir); err != nil || len(left) > 0 {
		t.Errorf("files left behind: %v %v", left, err)
	}
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > goroutines+5; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			b := make([]byte, 1<<20)
			t.Fatalf("%d goroutines before, %d after:\n%s", goroutines, runtime.NumGoroutine(), b[:runtime.Stack(b, true)])
		}
	}
}

// counts holds the documented fields of the JSON result.
type counts struct {
	Flows, Requests                                      *int
	BrokenFlows, Misrouted, RanTwice, NotRunButRan, Lost *int
	Imbalance                                            map[string]float64
}

func checkResult(t *testing.T, r *Result) {
	b, err := json.Marshal(r)
	if err != nil {
		t.Error(err)
		return
	}
	var c counts
	if err := json.Unmarshal(b, &c); err != nil {
		t.Error(err)
		return
	}
	for name, n := range map[string]*int{
		"brokenFlows": c.BrokenFlows, "misrouted": c.Misrouted, "ranTwice": c.RanTwice,
		"notRunButRan": c.NotRunButRan, "lost": c.Lost,
	} {
		if n == nil || *n != 0 {
			t.Errorf("want %s of 0 in %s", name, b)
		}
	}
	if !atLeast(c.Flows, 300) || !atLeast(c.Requests, 500) || r.Failed() {
		t.Errorf("want 300 flows, 500 requests and no failure, have %s", b)
	}
	for _, name := range []string{"listas", "fichas", "trek", "map"} {
		if v := c.Imbalance[name]; v < 1 || v > 7 {
			t.Errorf("imbalance of %s is %v", name, v)
		}
	}
	if r.Drained != 5 || r.Events == 0 || r.Downloads == 0 {
		t.Errorf("want 5 members drained, feeds and downloads, have %+v", r)
	}
}

func atLeast(n *int, minimum int) bool { return n != nil && *n >= minimum }
