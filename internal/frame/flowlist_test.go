package frame

import (
	"slices"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

// TestFlowList checks that a list of flows keeps its flows over its parts, that one with too many
// is not complete, and that malformed parts are told.
func TestFlowList(t *testing.T) {
	for _, n := range []int{0, 1, MaxListedFlows, MaxListedFlows + 1, maxListParts*MaxListedFlows + 1} {
		l := FlowList{Instance: 7, Version: 3, StartedMillis: 1712345678901, Complete: true}
		for i := range n {
			l.Keys = append(l.Keys, flow.Key{byte(i >> 16), byte(i >> 8), byte(i)})
		}
		var have []flow.Key
		payloads := l.Payloads()
		for i, b := range payloads {
			raw := (&Frame{Kind: Flows, Payload: b}).Append(nil)
			var f Frame
			if len(raw) > MaxSize || !f.Parse(raw) {
				t.Fatalf("%d flows: part %d of %d octets cannot be parsed", n, i, len(raw))
			}
			p, ok := f.FlowList()
			fits := n <= maxListParts*MaxListedFlows
			if !ok || p.Instance != 7 || p.Version != 3 || p.StartedMillis != l.StartedMillis || int(p.Part) != i || int(p.Parts) != len(payloads) || p.Complete != fits {
				t.Errorf("%d flows: have %+v, %v", n, p, ok)
			}
			have = append(have, p.Keys...)
		}
		if want := l.Keys[:min(n, maxListParts*MaxListedFlows)]; !slices.Equal(have, want) {
			t.Errorf("%d flows: have %d of them", n, len(have))
		}
	}
	for _, b := range [][]byte{nil, make([]byte, flowListSize-1), make([]byte, flowListSize+1), make([]byte, flowListSize), make([]byte, flowListSize+(MaxListedFlows+1)*12)} {
		f := Frame{Kind: Flows, Payload: b}
		if _, ok := f.FlowList(); ok {
			t.Errorf("%d octets: want them told as malformed", len(b))
		}
	}
}
