package agent

import (
	"testing"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestShareWeight guards against an agent that ranks itself by another weight
// than the one by which balancers place flows.
func TestShareWeight(t *testing.T) {
	shares := []decl.Share{{Place: "recife", Weight: 4}, {Place: "salvador", Weight: 0.5}, {Group: "trial", Weight: 0.1}}
	for _, c := range []struct {
		place, group string
		want         float64
	}{
		{"recife", "", 1},
		{"fortaleza", "", 0.25},
		{"salvador", "main", 0.125},
		{"recife", "trial", 0.1},
		{"fortaleza", "trial", 0.025},
	} {
		if have := shareWeight(shares, c.place, c.group); have != c.want {
			t.Errorf("%s, %q: want %v, have %v", c.place, c.group, c.want, have)
		}
	}
	if have := shareWeight(nil, "recife", ""); have != 1 {
		t.Errorf("no shares: want 1, have %v", have)
	}
}
