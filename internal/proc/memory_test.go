package proc

import "testing"

// TestGCPercent checks that the target falls only as memory use approaches the budget,
// and never below the minimum.
func TestGCPercent(t *testing.T) {
	const mb = 1 << 20
	for _, c := range []struct {
		live, other uint64
		want        int
	}{
		{0, 0, 100},
		{10 * mb, 5 * mb, 100},
		{100 * mb, 40 * mb, 60},
		{150 * mb, 40 * mb, 10},
		{180 * mb, 60 * mb, 10},
	} {
		if have := gcPercent(200*mb, c.live, c.other); have != c.want {
			t.Errorf("live %d, other %d: want %d, have %d", c.live, c.other, c.want, have)
		}
	}
}
