package connid

const (
	// Fields of the first octet. The packet types are those of QUIC version 1.
	longHeaderBit       = 0x80
	packetTypeMask      = 0x30
	handshakePacketType = 2
	// minInitialIDSize is the least length in octets of a client-chosen ID (RFC
	// 9000 section 7.2).
	minInitialIDSize = 8
	// maxIDSize is the greatest length of an ID in octets in QUIC version 1.
	maxIDSize = 20
)

// Header holds the fields of a QUIC packet header that are needed for routing.
// RFC 8999 defines the version-independent ones.
type Header struct {
	// ID is the destination connection ID; it aliases the packet.
	ID []byte
	// Long is true for a packet with a long header.
	Long bool
	// StartsFlow is true for a packet that may start a flow: a long header packet
	// of type Initial or 0-RTT of version 1, or of any type of an unknown
	// version, with an ID of at least 8 octets.
	StartsFlow bool
	// Handshake is true for a packet of type Handshake of version 1.
	Handshake bool
}

// ParseHeader parses the header of a QUIC packet that a caller sent. It returns
// false if the packet is too short or its ID is too long.
func ParseHeader(p []byte) (Header, bool) {
	if len(p) < 1+Size {
		return Header{}, false
	}
	if p[0]&longHeaderBit == 0 {
		return Header{ID: p[1 : 1+Size]}, true
	}
	n := int(p[5])
	if n > maxIDSize || len(p) < 6+n {
		return Header{}, false
	}
	h := Header{ID: p[6 : 6+n], Long: true}
	version := uint32(p[1])<<24 | uint32(p[2])<<16 | uint32(p[3])<<8 | uint32(p[4])
	packetType := p[0] & packetTypeMask >> 4
	h.Handshake = version == 1 && packetType == handshakePacketType
	h.StartsFlow = n >= minInitialIDSize && version != 0 && (version != 1 || packetType <= 1)
	return h, true
}
