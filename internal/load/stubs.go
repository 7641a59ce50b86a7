package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/stub"
)

// stubTimeout bounds reading the counts of one stub.
const stubTimeout = 10 * time.Second

type stubCounts = stub.Counts

// readStubCounts returns the counts of the stubs by base URL, and records in the
// result which stubs could not be read.
func (r *runner) readStubCounts() map[string]*stubCounts {
	all := map[string]*stubCounts{}
	client := http.Client{Timeout: stubTimeout}
	defer client.CloseIdleConnections()
	for _, u := range r.config.Stubs {
		c := new(stubCounts)
		resp, err := client.Get(u + "/counts")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(c)
			resp.Body.Close()
		}
		if err != nil {
			r.result.StubErrors = append(r.result.StubErrors, fmt.Sprintf("%s: %v", u, err))
			continue
		}
		all[u] = c
	}
	return all
}

// compareWithStubs compares the outcomes that the callers saw with what the
// stubs counted between two readings.
func (r *runner) compareWithStubs(before, after map[string]*stubCounts) {
	s := &r.result
	runs, overflowed := map[string]int{}, 0
	requests, busy := map[string][]float64{}, map[string][]float64{}
	for u, c := range after {
		b := before[u]
		if b == nil {
			b = new(stubCounts)
		}
		s.Misrouted += c.Misrouted - b.Misrouted
		overflowed += c.RunsOverflowed - b.RunsOverflowed
		requests[c.Service] = append(requests[c.Service], float64(c.Requests-b.Requests))
		busy[c.Service] = append(busy[c.Service], c.BusyMillis-b.BusyMillis)
		for id, n := range c.Runs {
			if strings.HasPrefix(id, r.runID) {
				runs[id] += n
			}
		}
	}
	for name, v := range s.Services {
		v.RequestImbalance, v.BusyImbalance = Imbalance(requests[name]), Imbalance(busy[name])
	}
	if len(r.config.Stubs) > 0 {
		r.compareIDs(runs, overflowed)
	}
}

// compareIDs compares the request ids of known outcomes with the runs of each id.
func (r *runner) compareIDs(runs map[string]int, overflowed int) {
	s := &r.result
	for _, n := range runs {
		if n > 1 {
			s.RanTwice++
		}
	}
	for _, id := range r.notRun {
		if runs[id] > 0 {
			s.NotRunButRan++
		}
	}
	if overflowed > 0 {
		// A stub did not record all ids, so a missing id is no evidence of a loss.
		s.Unchecked += len(r.answered)
		return
	}
	for _, id := range r.answered {
		if runs[id] == 0 {
			s.Lost++
		}
	}
}

// Imbalance returns max/mean of the values: 1 if all are zero, 0 if there are none.
func Imbalance(vs []float64) float64 {
	var sum, highest float64
	for _, v := range vs {
		sum += v
		highest = max(highest, v)
	}
	switch {
	case len(vs) == 0:
		return 0
	case sum <= 0:
		return 1
	}
	return highest * float64(len(vs)) / sum
}
