package itest

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// traffic is a set of workers that send requests one after another until they are
// stopped. It records the outcomes that were reported to them.
type traffic struct {
	stop context.CancelFunc
	done sync.WaitGroup
	// limit is the deadline of an update; 0 means none.
	limit time.Duration

	mu     sync.Mutex
	faults []string
	// counts holds the number of downloads and of updates by outcome.
	counts map[string]int
	// updates maps the IDs of updates to the outcome reported to the caller.
	updates map[string]string
}

func (t *traffic) addFault(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = append(t.faults, fmt.Sprintf(format, args...))
}

func (t *traffic) count(kind string) {
	t.mu.Lock()
	t.counts[kind]++
	t.mu.Unlock()
}

// startTraffic runs workers that download sheets and send updates.
func (s *Deployment) startTraffic(service string, workers int) *traffic {
	return s.startWorkers(service, workers, 0, true)
}

// startUpdates runs workers that only send updates, each with the given deadline.
func (s *Deployment) startUpdates(service string, workers int, limit time.Duration) *traffic {
	return s.startWorkers(service, workers, limit, false)
}

func (s *Deployment) startWorkers(service string, workers int, limit time.Duration, downloads bool) *traffic {
	ctx, stop := context.WithCancel(context.Background())
	t := &traffic{stop: stop, limit: limit, counts: map[string]int{}, updates: map[string]string{}}
	s.T.Cleanup(stop)
	for w := range workers {
		c := s.Client()
		t.done.Add(1)
		go func() {
			defer t.done.Done()
			for n := 0; ctx.Err() == nil; n++ {
				if downloads {
					t.download(s, c, service)
				}
				t.update(s, c, service, fmt.Sprintf("%s-%d-%d", service, w, n))
			}
		}()
	}
	return t
}

// sheetBytes is the size of a download.
const sheetBytes = 300_000

func (t *traffic) download(s *Deployment, c *caller.Client, service string) {
	req, _ := http.NewRequest(http.MethodGet, s.URL(service, fmt.Sprintf("/sheet?size=%d", sheetBytes)), nil)
	req.Header.Set("X-Service", service)
	resp, err := c.Do(req)
	if err != nil {
		t.addFault("download from %s: %v", service, err)
		return
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	sum := sha256.Sum256(b)
	if err != nil || len(b) != sheetBytes || hex.EncodeToString(sum[:]) != resp.Header.Get("X-Sha256") {
		t.addFault("download from %s: status %d, %d bytes, %v", service, resp.StatusCode, len(b), err)
		return
	}
	t.count("download")
}

func (t *traffic) update(s *Deployment, c *caller.Client, service, id string) {
	ctx := context.Background()
	if t.limit > 0 {
		limited, cancel := context.WithTimeout(ctx, t.limit)
		defer cancel()
		ctx = limited
	}
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, s.URL(service, "/update"), strings.NewReader("cement 3"))
	req.Header.Set("X-Service", service)
	req.Header.Set("X-Request-Id", id)
	resp, err := c.Do(req)
	outcome := Outcome(err)
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			t.addFault("update %s: status %d", id, resp.StatusCode)
		}
	}
	t.mu.Lock()
	t.updates[id] = outcome
	t.counts[outcome]++
	t.mu.Unlock()
}

// finish stops the workers and waits for them.
func (t *traffic) finish() {
	t.stop()
	t.done.Wait()
}

// check compares the outcomes reported to the callers with the runs that the upstreams
// counted, and checks that no request was misrouted.
func (t *traffic) check(s *Deployment, all []*Process) {
	s.T.Helper()
	runs := map[string]int{}
	for _, a := range all {
		st := a.Stub.Counts()
		for id, n := range st.Runs {
			runs[id] += n
		}
		if st.Misrouted != 0 {
			s.T.Errorf("%s: want no misrouted request, have %d", a.Name, st.Misrouted)
		}
	}
	for id, outcome := range t.updates {
		switch n := runs[id]; {
		case n > 1:
			s.T.Errorf("update %s ran %d times", id, n)
		case outcome == OutcomeDone && n != 1:
			s.T.Errorf("update %s was reported as done but ran %d times", id, n)
		case outcome == OutcomeNotRun && n != 0:
			s.T.Errorf("update %s was reported as not run but ran", id)
		}
	}
}
