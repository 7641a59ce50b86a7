package front

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// TestRejections checks which opening packets count as further attempts. A caller ends the
// request after three resets; the next packet from its address is a new request, at this
// balancer and at those that the attempt did not reach.
func TestRejections(t *testing.T) {
	const ms = time.Millisecond
	k := flow.KeyOf(netip.MustParseAddrPort("100.64.0.1:40000"), netip.MustParseAddrPort("198.18.0.1:443"))
	for _, c := range []struct {
		name   string
		early  bool
		resets uint8
		after  time.Duration
		want   bool
	}{
		{"first reset", true, 1, 20 * ms, true},
		{"last reset", true, 3, 20 * ms, false},
		{"another request", true, 1, 40 * ms, false},
		{"not early", false, 3, 40 * ms, true},
	} {
		co := NewCore(0, CoreConfig{RejectEarly: c.early}, flow.Codec{})
		co.recordReset(200*ms, 0, k, c.resets)
		start, resets := co.rejections.take(200*ms+c.after, requesterOf(k))
		if have := start == 0; have != c.want || have && resets != c.resets {
			t.Errorf("%s: want counted as the same request %v, have %v with %d resets", c.name, c.want, have, resets)
		}
	}
}
