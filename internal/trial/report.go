package trial

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table is the comparison of all policies in one scenario at one size.
type Table struct {
	Scenario string   `json:"scenario"`
	Size     Size     `json:"size"`
	Seed     uint64   `json:"seed"`
	Flows    int      `json:"flows"`
	Results  []Result `json:"results"`
}

// Sizes returns the service sizes that are compared.
func Sizes() []Size { return []Size{{7, 4}, {3, 5}} }

// Run compares all policies in each scenario at each size. Scenarios with several
// requests per flow get fewer flows, so that the number of requests is the same.
func Run(scenarios []Scenario, seed uint64, flows int) []Table {
	var ts []Table
	for _, sc := range scenarios {
		for _, s := range Sizes() {
			n := max(flows/sc.requests(), 1)
			rs := Compare(Policies(), sc, s, seed, n)
			ts = append(ts, Table{Scenario: sc.Name, Size: s, Seed: seed, Flows: n, Results: rs})
		}
	}
	return ts
}

// Write prints the tables as aligned text.
func Write(w io.Writer, ts []Table) error {
	for _, t := range ts {
		fmt.Fprintf(w, "%s, %d endpoints x %d slots, %d flows, seed %d\n", t.Scenario, t.Size.Endpoints, t.Size.Slots, t.Flows, t.Seed)
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "policy\tp99 wait\tratio\tmean wait\tmax/mean load\tflows\trequests\thand-overs/flow\tlost packets")
		for _, r := range t.Results {
			fmt.Fprintf(tw, "%s\t%.2f\t%.2f\t%.3f\t%.2f\t%.2f\t%.2f\t%.3f\t%d\n", r.Policy, r.P99Wait, r.Ratio, r.MeanWait, r.Imbalance, r.FlowImbalance, r.RequestImbalance, r.HandOvers, r.LostPackets)
		}
		if err := tw.Flush(); err != nil {
			return err
		}
		fmt.Fprintln(w)
	}
	return nil
}
