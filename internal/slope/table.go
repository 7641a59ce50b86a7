package slope

import (
	"fmt"
	"io"
	"slices"
)

// Table collects results of the same figure from several runs.
type Table struct {
	order  []Result
	values map[Result][]float64
}

// Add is a Report that keeps the result.
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

// Write prints the median, the least and the greatest value of each figure.
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
