package frame

import "net/netip"

const (
	addrSize = 4 + 2
	// MaxHeard is the maximum number of agents in an Unheard or a Heard.
	MaxHeard = 150
)

// HeardAgent says whether the sender of a Heard hears an agent.
type HeardAgent struct {
	Addr  netip.AddrPort
	Heard bool
}

// UnheardPayload returns the payload of an Unheard about agents with IPv4 addresses.
func UnheardPayload(agents []netip.AddrPort) (b []byte) {
	for _, a := range agents {
		b = appendAddr(b, a)
	}
	return b
}

// Unheard returns the addresses in an Unheard; ok is false if it is malformed.
func (f *Frame) Unheard() (agents []netip.AddrPort, ok bool) {
	if len(f.Payload)%addrSize != 0 || len(f.Payload) > MaxHeard*addrSize {
		return nil, false
	}
	for b := f.Payload; len(b) > 0; b = b[addrSize:] {
		agents = append(agents, parseAddr(b))
	}
	return agents, true
}

// HeardPayload returns the payload of a Heard.
func HeardPayload(agents []HeardAgent) (b []byte) {
	for _, a := range agents {
		heard := byte(0)
		if a.Heard {
			heard = 1
		}
		b = append(appendAddr(b, a.Addr), heard)
	}
	return b
}

// Heard returns the agents in a Heard; ok is false if it is malformed.
func (f *Frame) Heard() (agents []HeardAgent, ok bool) {
	const size = addrSize + 1
	if len(f.Payload)%size != 0 || len(f.Payload) > MaxHeard*size {
		return nil, false
	}
	for b := f.Payload; len(b) > 0; b = b[size:] {
		agents = append(agents, HeardAgent{parseAddr(b), b[addrSize] == 1})
	}
	return agents, true
}
