package slope

import (
	"fmt"
	"io"
	"slices"
)

// Table collects the results of several runs by quantity.
type Table struct {
	order  []Result
	values map[Result][]float64
}

// Add adds a result. It has the signature of a Report.
func (t *Table) Add(r Result) {
	if t.values == nil {
		t.values = map[Result][]float64{}
	}
	k := Result{Run: r.Run, Name: r.Name}
	if t.values[k] == nil {
		t.order = append(t.order, k)
	}
	t.values[k] = append(t.values[k], r.Value)
}

// Write prints the median, minimum and maximum of each quantity.
func (t *Table) Write(w io.Writer) error {
	run := ""
	for _, k := range t.order {
		if k.Run != run {
			run = k.Run
			if _, err := fmt.Fprintln(w, run); err != nil {
				return err
			}
		}
		v := slices.Sorted(slices.Values(t.values[k]))
		if _, err := fmt.Fprintf(w, "  %-60s %10.4g (%.4g to %.4g, %d values)\n", k.Name, (v[(len(v)-1)/2]+v[len(v)/2])/2, v[0], v[len(v)-1], len(v)); err != nil {
			return err
		}
	}
	return nil
}
