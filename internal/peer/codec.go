package peer

import (
	"encoding/binary"
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	protocolVersion = 3
	lengthSize      = 4
	// maxFrame covers a configuration of 1 MiB, the largest platform value.
	maxFrame = 1<<20 + 1<<16
	// maxAgentFrame bounds what an agent, or a process that has not yet said
	// what it is, may send at once.
	maxAgentFrame = 4 << 10
	maxName       = 255
	// maxItems is the number of entries in one frame.
	maxItems = 256
)

// FrameError reports a frame that breaks the protocol.
type FrameError struct {
	Kind   string
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("peer frame %q: %s", e.Kind, e.Reason) }

func kindOf(f *Frame) string {
	switch f.Body.(type) {
	case *Frame_Hello:
		return "hello"
	case *Frame_Digest:
		return "digest"
	case *Frame_Buckets:
		return "buckets"
	case *Frame_Entries:
		return "entries"
	case *Frame_Marks:
		return "marks"
	case *Frame_Config:
		return "config"
	case *Frame_Vouch:
		return "vouch"
	case *Frame_MarksWanted:
		return "marksWanted"
	case *Frame_MarkVersions:
		return "markVersions"
	case *Frame_ConfigOffer:
		return "configOffer"
	case *Frame_ConfigWanted:
		return "configWanted"
	}
	return "unknown"
}

// packet is an encoded frame with its length.
type packet struct {
	kind string
	b    []byte
}

func encode(f *Frame) packet {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthSize), f)
	if err != nil {
		panic(err) // only strings that are not UTF-8 fail, and checkName refuses them
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthSize))
	return packet{kindOf(f), b}
}

// readFrame reads one frame of at most limit octets.
func readFrame(r io.Reader, limit int) (*Frame, int, error) {
	var size [lengthSize]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, 0, err
	}
	n := int(binary.BigEndian.Uint32(size[:]))
	if n > limit {
		return nil, 0, &FrameError{"unknown", fmt.Sprintf("has %d octets, the limit is %d", n, limit)}
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return nil, 0, err
	}
	f, err := parseFrame(b)
	return f, lengthSize + n, err
}

func parseFrame(b []byte) (*Frame, error) {
	var f Frame
	if err := proto.Unmarshal(b, &f); err != nil {
		return nil, errors.Trace(&FrameError{"unknown", err.Error()})
	}
	if f.Body == nil {
		return nil, &FrameError{"unknown", "has no body"}
	}
	return &f, nil
}

func putAddr(a netip.AddrPort) (uint32, uint32) {
	if !a.Addr().Is4() {
		return 0, 0
	}
	ip := a.Addr().As4()
	return binary.BigEndian.Uint32(ip[:]), uint32(a.Port())
}

func getAddr(ip, port uint32) (netip.AddrPort, bool) {
	if port == 0 || port > 1<<16-1 {
		return netip.AddrPort{}, false
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port)), true
}

func putKey(k view.Key) *Key {
	ip, port := putAddr(k.Hop)
	return &Key{Name: k.Name, Ip: ip, Port: port, Instance: uint32(k.Instance)}
}

func getKey(k *Key) (view.Key, error) {
	a, ok := getAddr(k.GetIp(), k.GetPort())
	if !ok || len(k.GetName()) > maxName {
		return view.Key{}, &FrameError{"key", "has no valid address or name"}
	}
	return view.Key{Name: k.GetName(), Hop: a, Instance: ident.Instance(k.GetInstance())}, nil
}

func putItem(i view.Item) *Entry {
	e := &Entry{
		Key: putKey(i.Key), State: uint32(i.State), Seq: uint64(i.Seq),
		Service: string(i.Service), Group: string(i.Group), Place: string(i.Place),
		GoneMillis: uint32(i.GoneFor.Milliseconds()),
	}
	e.PeerIp, e.PeerPort = putAddr(i.Peer)
	e.AdminIp, e.AdminPort = putAddr(i.Admin)
	return e
}

func getItem(e *Entry) (view.Item, error) {
	k, err := getKey(e.GetKey())
	if err != nil {
		return view.Item{}, err
	}
	state := e.GetState()
	if state < uint32(view.Serving) || state > uint32(view.Gone) || e.GetSeq() == 0 {
		return view.Item{}, &FrameError{"entries", fmt.Sprintf("state %d or sequence number %d is invalid", state, e.GetSeq())}
	}
	if len(e.GetService()) > maxName || len(e.GetGroup()) > maxName || len(e.GetPlace()) > maxName {
		return view.Item{}, &FrameError{"entries", "a name is too long"}
	}
	i := view.Item{Entry: view.Entry{
		Key: k, State: view.State(state), Seq: ident.Seq(e.GetSeq()),
		Service: ident.ServiceName(e.GetService()),
		Group:   ident.GroupName(e.GetGroup()),
		Place:   ident.PlaceName(e.GetPlace()),
	}}
	i.Peer, _ = getAddr(e.GetPeerIp(), e.GetPeerPort())
	i.Admin, _ = getAddr(e.GetAdminIp(), e.GetAdminPort())
	if i.Key.IsBalancer() && !i.Peer.IsValid() {
		return view.Item{}, &FrameError{"entries", "a balancer has no peer address"}
	}
	if i.State == view.Gone {
		i.GoneFor = time.Duration(e.GetGoneMillis()) * time.Millisecond
	}
	return i, nil
}

// entryFrames splits items over frames that a receiver accepts.
func entryFrames(is []view.Item, wanted []uint32) []packet {
	var ps []packet
	for first := true; first || len(is) > 0; first = false {
		n := min(len(is), maxItems)
		m := &Entries{}
		for _, i := range is[:n] {
			m.Entries = append(m.Entries, putItem(i))
		}
		is = is[n:]
		if first {
			m.Wanted = wanted
		}
		ps = append(ps, encode(&Frame{Body: &Frame_Entries{m}}))
	}
	return ps
}
