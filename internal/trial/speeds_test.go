package trial

import "testing"

// TestSpeeds checks the goal of the measured speeds. Beside one slow upstream, p99 and the
// late share are within 1.1 of a policy that knows the speeds, at 0.3, 0.7 and 0.9 load, and
// below placement by slots; where upstreams differ from what they declare, below placement
// by slots. With even ones they are no worse than that beyond the noise: over 30 seeds
// the late share at 0.9 was 1.02 of it (standard error 0.012), for the policy that knows
// the speeds as well.
func TestSpeeds(t *testing.T) {
	const goal, noise, seeds = 1.1, 1.05, 16
	for _, s := range SpeedScenarios() {
		t.Run(s.Name, func(t *testing.T) {
			t.Parallel()
			p99, late := map[Steering]float64{}, map[Steering]float64{}
			for seed := range uint64(seeds) {
				for _, r := range RunSpeeds([]Speeds{s}, seed+1)[0].Results {
					p99[r.Steering] += r.P99.Seconds()
					late[r.Steering] += r.Late
				}
			}
			check := func(what string, have map[Steering]float64) {
				if a, b := have[ByGauge], have[Known]; s.KneeAt == 0 && s.Slots == s.Declared && a > goal*b {
					t.Errorf("load %v: want at most %v of the policy that knows the speeds, have %s %.3f", s.Load, goal, what, a/b)
				}
				most := 1.0
				if s.Name == "even" {
					most = noise
				}
				if a, b := have[ByGauge], have[BySlots]; a > most*b {
					t.Errorf("load %v: want at most %v of placement by slots, have %s %.3f", s.Load, most, what, a/b)
				}
			}
			check("p99", p99)
			check("late share", late)
		})
	}
}
