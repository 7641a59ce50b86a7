package demo

import (
	"fmt"
	"io"

	"github.com/bramleycourse/bramleycourse/internal/load"
)

// Result is what the callers and the upstreams counted.
type Result struct {
	load.Result
	// Imbalance is max/mean over the upstreams of a service, by its name, of
	// the requests before the replacement. BusyImbalance is that of the time
	// that slots were held.
	Imbalance     map[string]float64 `json:"imbalance"`
	BusyImbalance map[string]float64 `json:"busyImbalance"`
	// Drained counts the balancers and agents that ended by a drain.
	Drained int `json:"drained"`
}

// shares holds the counts of the upstreams of one service.
type shares struct{ requests, busy []float64 }

// shares reads the counts of the upstreams in service.
func (d *demo) shares() map[string]shares {
	all := map[string]shares{}
	for _, u := range d.upstreams {
		c, s := u.stub.Counts(), all[u.service]
		s.requests = append(s.requests, float64(c.Requests))
		s.busy = append(s.busy, c.BusyMillis)
		all[u.service] = s
	}
	return all
}

// result joins the result of the load with the imbalance before the
// replacement; that of the whole run would compare upstreams of unequal ages.
func (d *demo) result(r *load.Result, steady map[string]shares) *Result {
	out := &Result{Result: *r, Drained: d.drained, Imbalance: map[string]float64{}, BusyImbalance: map[string]float64{}}
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
