package flow

// Codec implements the packet format used between callers and upstreams.
type Codec struct {
	// Decode decodes the header of a packet. It reports false if the datagram is
	// not a packet. It must not retain b.
	Decode func(b []byte) (Packet, bool)
	// Reset returns a packet to the caller that resets the flow of the caller's
	// packet p.
	Reset func(p *Packet) []byte
	// ClearReturned clears the returned mark of a packet in place, so that the
	// packet can be sent to another upstream.
	ClearReturned func(b []byte)
}
