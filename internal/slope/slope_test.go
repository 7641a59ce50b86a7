package slope

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
)

// TestConfigValue checks that balancers accept the configuration of the largest
// measurement; a refused one would never come into force.
func TestConfigValue(t *testing.T) {
	v, err := configValue(1, maxServices, "w")
	if err != nil {
		t.Fatal(err)
	}
	a, err := config.ParseAccepted(configName, v)
	if err != nil || len(a.Declaration.Services) != maxServices {
		t.Fatalf("want %d accepted services, have %+v, %v", maxServices, a, err)
	}
	if _, skipped := serviceNames(maxServices); skipped == 0 {
		t.Error("want names skipped that share a tag with another")
	}
	t.Logf("a configuration of %d services has %d bytes", maxServices, len(v))
}

// TestPeers checks that no value is missing from the output of a measurement.
func TestPeers(t *testing.T) {
	var tab Table
	p := Peers{Nodes: 4, Endpoints: 20, Services: 3, Marks: 5, Window: 1500 * time.Millisecond}
	if err := p.Run(t.Context(), tab.Add); err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := tab.Write(&b); err != nil {
		t.Fatal(err)
	}
	for _, w := range []string{
		"sent digest B/s", "CPU ms/s per node", "membership change in all views ms",
		"configuration at all nodes ms", "marks at all nodes ms", "sent marks B per node",
	} {
		if !strings.Contains(b.String(), w) {
			t.Errorf("want a value of %q, have\n%s", w, b.String())
		}
	}
}
