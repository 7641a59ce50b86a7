package front

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
	"github.com/bramleycourse/bramleycourse/internal/shed"
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

// TestOlderAgents checks that the times of a refused request, which the Refused frame of an
// agent without early rejection carries, are not taken for a report of the agent.
func TestOlderAgents(t *testing.T) {
	agent, r := netip.MustParseAddrPort("10.0.0.9:8000"), &rules.Route{Priority: 2}
	for _, waits := range []bool{false, true} {
		co := NewCore(0, CoreConfig{RejectEarly: true}, flow.Codec{})
		f := frame.Frame{Kind: frame.Refused, Service: 7, Waits: waits, ObjectiveMillis: 250, TimeoutMillis: 1500}
		if have := co.noteRefused(0, &f, agent, r, false); have != waits {
			t.Errorf("reported %v: counted as refused for lack of time: %v", waits, have)
		}
		if _, have := co.gate.Least(0, 7, shed.Normal); have != waits {
			t.Errorf("reported %v: counted as a report: %v", waits, have)
		}
	}
}
