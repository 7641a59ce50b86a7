package drain

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestMachine guards against a drain that ends while there is work and against
// one that never ends.
func TestMachine(t *testing.T) {
	names := map[Action]string{None: "none", Begin: "leave", Finish: "finish", Abort: "cut"}
	datadriven.RunTest(t, "testdata/drain", func(t *testing.T, d *datadriven.TestData) string {
		var minimum, quiet, limit int
		d.ScanArgs(t, "minimum", &minimum)
		d.ScanArgs(t, "quiet", &quiet)
		d.ScanArgs(t, "limit", &limit)
		m := New(Limits{
			Minimum: time.Duration(minimum) * time.Second,
			Quiet:   time.Duration(quiet) * time.Second,
			Limit:   time.Duration(limit) * time.Second,
		})
		now, out := time.Unix(0, 0), ""
		// Each letter of the input is one second: s is a signal, w is work, -
		// is no work.
		for i, c := range d.Input {
			at := now.Add(time.Duration(i) * time.Second)
			var a Action
			if c == 's' {
				a = m.Signal(at)
			} else {
				a = m.Check(at, c == 'w')
			}
			if a != None {
				out += fmt.Sprintf("%d s: %s, %s\n", i, names[a], m.State())
			}
		}
		return out + "end: " + m.State().String()
	})
}
