package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/stub"
)

// Result is what one run measured.
type Result struct {
	// Flows counts QUIC connections opened.
	Flows     uint64 `json:"flows"`
	Requests  int    `json:"requests"`
	Downloads int    `json:"downloads"`
	Events    int    `json:"events"`
	// BrokenFlows counts feeds and downloads that broke.
	BrokenFlows  int `json:"brokenFlows"`
	WrongAnswers int `json:"wrongAnswers"`
	NotRun       int `json:"notRun"`
	Unknown      int `json:"unknown"`
	// Overruns counts arrivals that found too many requests in progress.
	Overruns             int     `json:"overruns"`
	LongestSilenceMillis int64   `json:"longestSilenceMillis"`
	Migrations           uint64  `json:"migrations"`
	P50Millis            float64 `json:"p50Millis"`
	P99Millis            float64 `json:"p99Millis"`
	P999Millis           float64 `json:"p999Millis"`
	MaxMillis            float64 `json:"maxMillis"`

	// The rest comes from the stubs.
	Misrouted int `json:"misrouted"`
	RanTwice  int `json:"ranTwice"`
	// NotRunButRan counts requests reported as not run that a stub has run,
	// Lost those answered that no stub has seen.
	NotRunButRan int `json:"notRunButRan"`
	Lost         int `json:"lost"`
	// RequestImbalance and BusyImbalance are max/mean over the stubs of a service.
	RequestImbalance map[string]float64 `json:"requestImbalance"`
	BusyImbalance    map[string]float64 `json:"busyImbalance"`
	// StubErrors names the stubs whose counts could not be read.
	StubErrors []string `json:"stubErrors"`
}

// Failed says whether a flow broke, an answer was wrong or a guarantee did not hold.
func (s *Result) Failed() bool {
	return s.BrokenFlows+s.WrongAnswers+s.Misrouted+s.RanTwice+s.NotRunButRan+s.Lost+len(s.StubErrors) > 0
}

func (r *runner) finish() {
	s := &r.result
	for _, l := range r.clients {
		n := l.Stats()
		s.Flows += n.Flows
		s.Migrations += n.Migrations
		l.Close()
	}
	at := func(p float64) float64 { return float64(r.latency.ValueAtPercentile(p)) / 1000 }
	s.P50Millis, s.P99Millis, s.P999Millis, s.MaxMillis = at(50), at(99), at(99.9), at(100)
	if len(r.config.Stubs) > 0 {
		r.collect()
	}
}

const collectTimeout = 10 * time.Second

func (r *runner) collect() {
	s := &r.result
	runs := map[string]int{}
	requests, busy := map[string][]float64{}, map[string][]float64{}
	client := http.Client{Timeout: collectTimeout}
	for _, u := range r.config.Stubs {
		var c stub.Counts
		resp, err := client.Get(u + "/counts")
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&c)
			resp.Body.Close()
		}
		if err != nil {
			s.StubErrors = append(s.StubErrors, fmt.Sprintf("%s: %v", u, err))
			continue
		}
		s.Misrouted += c.Misrouted
		requests[c.Service] = append(requests[c.Service], float64(c.Requests))
		busy[c.Service] = append(busy[c.Service], c.BusyMillis)
		for id, n := range c.Runs {
			runs[id] += n
		}
	}
	s.RequestImbalance, s.BusyImbalance = imbalances(requests), imbalances(busy)
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
	for _, id := range r.answered {
		if runs[id] == 0 {
			s.Lost++
		}
	}
}

// imbalances returns max/mean by service; 1 when nothing was counted.
func imbalances(by map[string][]float64) map[string]float64 {
	out := map[string]float64{}
	for name, vs := range by {
		var sum, most float64
		for _, v := range vs {
			sum += v
			most = max(most, v)
		}
		out[name] = 1
		if sum > 0 {
			out[name] = most * float64(len(vs)) / sum
		}
	}
	return out
}
