package main

import (
	"encoding/binary"
	"net/netip"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const headerBytes = 32

// packet is a decoded packet of a flow.
type packet struct {
	from, to  netip.AddrPort
	flags     byte
	sum       uint32
	seq, ackd uint32
	data      []byte
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerBytes || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-headerBytes {
		return p, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte{b[at+3], b[at+2], b[at+1], b[at]}) }
	le := binary.LittleEndian
	return packet{
		from: netip.AddrPortFrom(addr(8), le.Uint16(b[6:])), to: netip.AddrPortFrom(addr(0), le.Uint16(b[4:])),
		flags: b[18], sum: le.Uint32(b[12:]), seq: le.Uint32(b[24:]), ackd: le.Uint32(b[28:]), data: b[headerBytes:],
	}, true
}

// ownReset reports whether a packet is a reset of the system's own.
func (p *packet) ownReset() bool {
	return p.flags == standin.Rst && p.sum == 0 && len(p.data) == 0
}
