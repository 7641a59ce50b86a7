package trial

import (
	"testing"
	"time"
)

// slotsAllow returns the worth of the requests that the slots can serve in time if nobody
// knows their durations, urgent ones first, as a share of the worth of all.
func slotsAllow(o *Outage, requests int) float64 {
	served := float64(o.Upstreams*o.Slots) * (outageAfter + o.Objective).Seconds() / o.Work.Seconds()
	urgent := o.UrgentShare * float64(requests)
	normal := min(served-urgent, float64(requests)-urgent)
	return (urgentWorth*urgent + normal) / (urgentWorth*urgent + float64(requests) - urgent)
}

// TestPressure checks the goals above the capacity: early rejection reaches 0.9 of what the
// slots allow, and rejected requests are told within 50 ms. The oracle of the table knows
// the durations, too, and so serves more than the slots do on average.
func TestPressure(t *testing.T) {
	for _, o := range Pressures() {
		if !o.Early {
			continue
		}
		have := RunOutages([]Outage{o}, 1)[0].Played
		if share := have.Worth / slotsAllow(&o, have.Requests); share < 0.9 {
			t.Errorf("%d x %d, %.1f: want 0.9 of what the slots allow, have %.3f", o.Upstreams, o.Slots, o.Share, share)
		}
		if told := time.Duration(have.ToldMillis) * time.Millisecond; told > 50*time.Millisecond {
			t.Errorf("%d x %d, %.1f: rejected requests told after %v", o.Upstreams, o.Slots, o.Share, told)
		}
	}
}
