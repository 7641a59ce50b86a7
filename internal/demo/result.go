package demo

import (
	"fmt"
	"io"

	"github.com/bramleycourse/bramleycourse/internal/load"
)

// Result holds what the callers and the upstreams counted.
type Result struct {
	load.Result
	// Imbalance is the ratio of the maximum to the mean number of requests over the
	// upstreams of a service before the replacement, by service name. BusyImbalance
	// is the same ratio for the time that slots were occupied.
	Imbalance     map[string]float64 `json:"imbalance"`
	BusyImbalance map[string]float64 `json:"busyImbalance"`
	// Drained is the number of balancers and agents that drained and stopped.
	Drained int `json:"drained"`
}

// upstreamCounts holds the number of requests and the busy time in milliseconds of
// each upstream of a service.
type upstreamCounts struct{ requests, busy []float64 }

// countsByService reads the counts of the upstreams in service, by service name.
func (d *demo) countsByService() map[string]upstreamCounts {
	all := map[string]upstreamCounts{}
	for _, u := range d.upstreams {
		c, s := u.stub.Counts(), all[u.service]
		s.requests = append(s.requests, float64(c.Requests))
		s.busy = append(s.busy, c.BusyMillis)
		all[u.service] = s
	}
	return all
}

// newResult combines the result of the load with the imbalance before the
// replacement. The imbalance of the whole run would compare upstreams that were in
// service for different times.
func (d *demo) newResult(r *load.Result, steady map[string]upstreamCounts) *Result {
	out := &Result{Result: *r, Drained: d.drainedCount, Imbalance: map[string]float64{}, BusyImbalance: map[string]float64{}}
	for name, s := range steady {
		out.Imbalance[name], out.BusyImbalance[name] = load.Imbalance(s.requests), load.Imbalance(s.busy)
		v := *r.Services[name]
		v.RequestImbalance, v.BusyImbalance = out.Imbalance[name], out.BusyImbalance[name]
		out.Services[name] = &v
	}
	return out
}

// Print writes the result as a table.
func (r *Result) Print(out io.Writer) {
	r.Result.Print(out)
	fmt.Fprintf(out, "%d members replaced by a drain under load; imbalance is max/mean over the upstreams before that\n", r.Drained)
}
