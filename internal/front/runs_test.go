package front

import (
	"encoding/json"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

// TestEarlierRunComesBack guards against the entry of an ended run of an agent that a
// balancer passes on which was cut off for longer than tombstones are kept. The address
// answers, so that the entry would stay as long as the present run lives.
func TestEarlierRunComesBack(t *testing.T) {
	peer, hop := netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.9:8000")
	for _, x := range []struct {
		name    string
		present view.Entry
		agents  int
	}{
		{"the upstream of the present run has left", view.Entry{State: view.Gone, Seq: 20}, 0},
		{"the clock has jumped back before the present run", view.Entry{State: view.Serving, Seq: 5, Service: "new"}, 1},
	} {
		c := NewCore(0, CoreConfig{Name: "edge1", Peer: netip.MustParseAddrPort("10.0.0.1:7000")}, flow.Codec{})
		c.Log = node.NewOutput(io.Discard).NewLog("balancer", "edge1")
		c.ToAgent = func([]byte, netip.AddrPort) {}
		now := time.Second
		send := func(k frame.Kind, body any, from netip.AddrPort) {
			b, err := json.Marshal(body)
			if err != nil {
				t.Fatal(err)
			}
			c.FromAgent(now, (&frame.Frame{Kind: k, Payload: b}).Append(nil), from)
			now += time.Second
		}
		present := x.present
		present.Key = view.Key{Hop: hop, Instance: 2}
		earlier := view.Entry{Key: view.Key{Hop: hop, Instance: 1}, State: view.Serving, Seq: 10, Service: "old"}
		send(frame.Announce, view.Item{Entry: present}, hop)
		send(frame.Entries, []view.Item{{Entry: earlier}}, peer)
		send(frame.Announce, view.Item{Entry: present}, hop)
		send(frame.Announce, view.Item{Entry: earlier}, hop) // It was on its way for long.
		st := c.agents.byAddr[hop]
		if c.AgentCount() != x.agents || st != nil && st.entry.Key != present.Key {
			t.Errorf("%s: want %d agents of the present run, have %d: %+v", x.name, x.agents, c.AgentCount(), st)
		}
	}
}
