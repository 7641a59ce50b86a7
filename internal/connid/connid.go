package connid

import (
	"encoding/binary"
	"net/netip"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// Size is the length of a connection ID in octets: the first octet and one
	// AES block.
	Size = 1 + blockSize

	blockSize = 16 // octets of an AES block
	// The first octet holds the key number in its high 3 bits and blockSize, the
	// length of the rest, in its low 5 bits.
	keyShift   = 5
	lengthMask = 1<<keyShift - 1
)

// Target is the service and the endpoint that a connection ID routes to.
type Target struct {
	Endpoint ident.EndpointID
	Service  ident.ServiceTag
}

// Encode returns a connection ID for t, encrypted with the current key. The low
// 24 bits of the counter make the IDs of one instance distinct.
func (s *Set) Encode(t Target, counter uint32) [Size]byte {
	var id [Size]byte
	id[0] = s.Current.Number<<keyShift | blockSize
	b := id[1:]
	ip := t.Endpoint.Addr.Addr().As4()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[4:], t.Endpoint.Addr.Port())
	binary.BigEndian.PutUint16(b[6:], uint16(t.Service))
	putUint24(b[8:], uint32(t.Endpoint.Instance))
	putUint24(b[11:], counter)
	s.Current.block.Encrypt(b, b)
	return id
}

// Decoder decodes connection IDs without allocating memory. It is not safe for
// concurrent use; each goroutine needs its own.
type Decoder struct {
	scratch [blockSize]byte
}

// Decode returns the target of a connection ID. It returns false if the key is
// unknown or the two check octets at the end of the block are not zero. A
// client-chosen ID with the right length and a known key number passes the check
// with a probability of 2^-16.
func (d *Decoder) Decode(s *Set, id []byte) (Target, bool) {
	if len(id) != Size || id[0]&lengthMask != blockSize {
		return Target{}, false
	}
	k := s.Key(id[0] >> keyShift)
	if k == nil {
		return Target{}, false
	}
	b := d.scratch[:]
	k.block.Decrypt(b, id[1:])
	if b[14] != 0 || b[15] != 0 {
		return Target{}, false
	}
	return Target{
		Endpoint: ident.EndpointID{
			Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[:4])), binary.BigEndian.Uint16(b[4:])),
			Instance: ident.Instance(uint24(b[8:])),
		},
		Service: ident.ServiceTag(binary.BigEndian.Uint16(b[6:])),
	}, true
}

func putUint24(b []byte, v uint32) {
	b[0], b[1], b[2] = byte(v>>16), byte(v>>8), byte(v)
}

func uint24(b []byte) uint32 {
	return uint32(b[0])<<16 | uint32(b[1])<<8 | uint32(b[2])
}
