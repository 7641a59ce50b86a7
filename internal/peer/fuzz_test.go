package peer

import (
	"net/netip"
	"testing"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// FuzzFrame guards the parser against messages of any content.
func FuzzFrame(f *testing.F) {
	f.Add(entryFrames([]view.Item{endpointItem(1)}, []uint32{3})[0].b[lengthSize:])
	f.Add(marksFrame(view.MarkUpdate{By: balancerKey(1), Version: 1, Marks: []view.Mark{{Target: endpointItem(2).Key, Condition: view.Down}}}, false).b[lengthSize:])
	f.Add(encode(&Frame{Body: &Frame_Vouch{&Vouch{Hash: 1, Ages: []byte{1}}}}).b[lengthSize:])
	f.Add(wantedFrame([]uint64{1}).b[lengthSize:])
	f.Add(encode(&Frame{Body: &Frame_MarkVersions{&MarkVersions{Versions: []*MarkVersion{{Origin: 1, Version: 1}}}}}).b[lengthSize:])
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := parseFrame(b)
		if err != nil {
			return
		}
		n := NewNode(Options{Self: view.Entry{Key: view.Key{Name: "b", Hop: netip.MustParseAddrPort("10.1.0.1:1")}, State: view.Serving}})
		n.Merge(view.Item{Entry: view.Entry{Key: balancerKey(1), State: view.Serving, Seq: 1, Peer: n.self.Key.Hop}})
		for _, k := range []view.Key{endpointItem(1).Key, balancerKey(1)} {
			s := &session{remote: view.Item{Entry: view.Entry{Key: k}}}
			s.prepare()
			n.handle(s, m)
		}
		if n.view.Len() > len(b)+2 || n.marks.Len() > len(b) {
			t.Fatalf("%d entries and %d marks out of %d octets", n.view.Len(), n.marks.Len(), len(b))
		}
	})
}
