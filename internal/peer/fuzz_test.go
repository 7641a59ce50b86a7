package peer

import (
	"net/netip"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// FuzzFrame guards the parser and the handlers against malformed frames: they
// must not panic, or store more entries or marks than the frame has bytes.
func FuzzFrame(f *testing.F) {
	f.Add(entryFrames([]view.Item{endpointItem(1)}, []uint32{3})[0].data[lengthSize:])
	f.Add(marksFrame(view.MarkUpdate{By: balancerKey(1), Version: 1, Marks: []view.Mark{{Target: endpointItem(2).Key, Condition: view.Down}}}, false).data[lengthSize:])
	f.Add(encodeFrame(&Frame{Body: &Frame_Vouch{&Vouch{Hash: 1, Ages: []byte{1}}}}).data[lengthSize:])
	f.Add(marksWantedFrame([]uint64{1}).data[lengthSize:])
	f.Add(encodeFrame(&Frame{Body: &Frame_MarkVersions{&MarkVersions{Versions: []*MarkVersion{{Origin: 1, Version: 1}}}}}).data[lengthSize:])
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := parseFrame(b)
		if err != nil {
			return
		}
		n := NewNode(NodeOptions{Self: view.Entry{Key: view.Key{Name: "b", Hop: netip.MustParseAddrPort("10.1.0.1:1")}, State: view.Serving}})
		n.Merge(view.Item{Entry: view.Entry{Key: balancerKey(1), State: view.Serving, Seq: 1, Peer: n.self.Key.Hop}})
		for _, k := range []view.Key{endpointItem(1).Key, balancerKey(1)} {
			s := &session{remote: view.Item{Entry: view.Entry{Key: k}}}
			s.initQueue()
			n.handle(s, m)
		}
		if n.view.Len() > len(b)+2 || n.marks.Len() > len(b) {
			t.Fatalf("have %d entries and %d marks from a frame of %d bytes", n.view.Len(), n.marks.Len(), len(b))
		}
	})
}
