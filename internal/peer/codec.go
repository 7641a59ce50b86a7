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
	// protocolVersion is the version in a hello; a hello of another version is
	// refused.
	protocolVersion = 3
	// lengthSize is the size in bytes of the length before each frame.
	lengthSize = 4
	// maxFrame is the maximum length of a frame in bytes. It leaves room for a
	// configuration of 1 MiB, the largest value that the platform stores.
	maxFrame = 1<<20 + 1<<16
	// maxAgentFrame is the maximum length of a frame in bytes from an agent, or
	// from a process that has not sent its hello.
	maxAgentFrame = 4 << 10
	// maxNameLength is the maximum length in bytes of a name in an entry.
	maxNameLength = 255
	// maxFrameEntries is the maximum number of entries in one frame.
	maxFrameEntries = 256
)

// FrameError reports a frame that violates the protocol.
type FrameError struct {
	Kind   string
	Reason string
}

// Error implements error.
func (e *FrameError) Error() string { return fmt.Sprintf("peer frame %q: %s", e.Kind, e.Reason) }

// kindOf returns the message kind of a frame for metrics and errors.
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

// packet is an encoded frame with its length prefix.
type packet struct {
	kind string
	data []byte
}

func encodeFrame(f *Frame) packet {
	b, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, lengthSize), f)
	if err != nil {
		panic(err) // only invalid UTF-8 fails, which JSON settings and received messages can't contain
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthSize))
	return packet{kindOf(f), b}
}

// readFrame reads one frame of at most limit bytes and returns it with its
// encoded length.
func readFrame(r io.Reader, limit int) (*Frame, int, error) {
	var size [lengthSize]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, 0, err
	}
	n := int(binary.BigEndian.Uint32(size[:]))
	if n > limit {
		return nil, 0, &FrameError{"unknown", fmt.Sprintf("is %d bytes long, the limit is %d", n, limit)}
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

// encodeAddr returns zeros for an address that is not IPv4.
func encodeAddr(a netip.AddrPort) (uint32, uint32) {
	if !a.Addr().Is4() {
		return 0, 0
	}
	ip := a.Addr().As4()
	return binary.BigEndian.Uint32(ip[:]), uint32(a.Port())
}

func decodeAddr(ip, port uint32) (netip.AddrPort, bool) {
	if port == 0 || port > 1<<16-1 {
		return netip.AddrPort{}, false
	}
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], ip)
	return netip.AddrPortFrom(netip.AddrFrom4(b), uint16(port)), true
}

func encodeKey(k view.Key) *Key {
	ip, port := encodeAddr(k.Hop)
	return &Key{Name: k.Name, Ip: ip, Port: port, Instance: uint32(k.Instance)}
}

func decodeKey(k *Key) (view.Key, error) {
	a, ok := decodeAddr(k.GetIp(), k.GetPort())
	if !ok || len(k.GetName()) > maxNameLength {
		return view.Key{}, &FrameError{"key", "address or name is invalid"}
	}
	return view.Key{Name: k.GetName(), Hop: a, Instance: ident.Instance(k.GetInstance())}, nil
}

func encodeItem(i view.Item) *Entry {
	e := &Entry{
		Key: encodeKey(i.Key), State: uint32(i.State), Seq: uint64(i.Seq),
		Service: string(i.Service), Group: string(i.Group), Place: string(i.Place),
		GoneMillis: uint32(i.GoneFor.Milliseconds()),
	}
	e.PeerIp, e.PeerPort = encodeAddr(i.Peer)
	e.AdminIp, e.AdminPort = encodeAddr(i.Admin)
	return e
}

func decodeItem(e *Entry) (view.Item, error) {
	k, err := decodeKey(e.GetKey())
	if err != nil {
		return view.Item{}, err
	}
	state := e.GetState()
	if state < uint32(view.Serving) || state > uint32(view.Gone) || e.GetSeq() == 0 {
		return view.Item{}, &FrameError{"entries", fmt.Sprintf("state %d or sequence number %d is invalid", state, e.GetSeq())}
	}
	if len(e.GetService()) > maxNameLength || len(e.GetGroup()) > maxNameLength || len(e.GetPlace()) > maxNameLength {
		return view.Item{}, &FrameError{"entries", "name is too long"}
	}
	i := view.Item{Entry: view.Entry{
		Key: k, State: view.State(state), Seq: ident.Seq(e.GetSeq()),
		Service: ident.ServiceName(e.GetService()),
		Group:   ident.GroupName(e.GetGroup()),
		Place:   ident.PlaceName(e.GetPlace()),
	}}
	i.Peer, _ = decodeAddr(e.GetPeerIp(), e.GetPeerPort())
	i.Admin, _ = decodeAddr(e.GetAdminIp(), e.GetAdminPort())
	if i.Key.IsBalancer() && !i.Peer.IsValid() {
		return view.Item{}, &FrameError{"entries", "balancer has no peer address"}
	}
	if i.State == view.Gone {
		i.GoneFor = time.Duration(e.GetGoneMillis()) * time.Millisecond
	}
	return i, nil
}

// entryFrames encodes entries into frames of at most maxFrameEntries. The first
// frame asks for the entries of the wanted buckets in return.
func entryFrames(is []view.Item, wanted []uint32) []packet {
	var ps []packet
	for first := true; first || len(is) > 0; first = false {
		n := min(len(is), maxFrameEntries)
		m := &Entries{}
		for _, i := range is[:n] {
			m.Entries = append(m.Entries, encodeItem(i))
		}
		is = is[n:]
		if first {
			m.Wanted = wanted
		}
		ps = append(ps, encodeFrame(&Frame{Body: &Frame_Entries{m}}))
	}
	return ps
}
