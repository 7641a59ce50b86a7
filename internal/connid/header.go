package connid

const (
	longHeaderBit = 0x80
	typeMask      = 0x30
	handshakeType = 2
	// minInitialID is the least length of a client-chosen ID (RFC 9000 section 7.2).
	minInitialID = 8
	maxIDSize    = 20
)

// Header is the part of a QUIC packet header that routing needs (RFC 8999).
type Header struct {
	// ID is the destination connection ID; it aliases the packet.
	ID []byte
	// Long is true for a long header.
	Long bool
	// Opening is true for a packet that may start a flow: a long header packet
	// of version 1 of type Initial or 0-RTT, or one of another version.
	Opening bool
	// Handshake is true for a packet of version 1 of type Handshake.
	Handshake bool
}

// ParseHeader parses the header of a QUIC packet sent by a caller. It fails
// for packets that are too short and for IDs of an impossible length.
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
	packetType := p[0] & typeMask >> 4
	h.Handshake = version == 1 && packetType == handshakeType
	h.Opening = n >= minInitialID && version != 0 && (version != 1 || packetType <= 1)
	return h, true
}
