package flow

// Codec is the packet format of the network between callers and upstreams.
type Codec struct {
	// Decode reads the header of a packet and reports false for a datagram that
	// is none. It must not keep the octets.
	Decode func(b []byte) (Packet, bool)
	// Reset returns a packet that resets the flow of the given caller's packet.
	Reset func(p *Packet) []byte
	// Forget removes the mark of a returned packet in place, so that another
	// upstream can take it.
	Forget func(b []byte)
}
