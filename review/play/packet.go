package main

import (
	"encoding/binary"
	"net/netip"

	"github.com/bramleycourse/bramleycourse/platform/standin"
)

const packetHeader = 32

// packet is a decoded packet of a flow.
type packet struct {
	from, to netip.AddrPort
	flags    byte
	seq, ack uint32
	data     []byte
	// own is set on a reset that the system wrote: it has no sum.
	own bool
}

func decode(b []byte) (*packet, bool) {
	if len(b) < packetHeader || int(binary.LittleEndian.Uint16(b[16:])) != len(b)-packetHeader {
		return nil, false
	}
	addr := func(at int) netip.Addr { return netip.AddrFrom4([4]byte{b[at+3], b[at+2], b[at+1], b[at]}) }
	return &packet{
		from:  netip.AddrPortFrom(addr(8), binary.LittleEndian.Uint16(b[6:])),
		to:    netip.AddrPortFrom(addr(0), binary.LittleEndian.Uint16(b[4:])),
		flags: b[18], seq: binary.LittleEndian.Uint32(b[24:]), ack: binary.LittleEndian.Uint32(b[28:]),
		data: append([]byte(nil), b[packetHeader:]...),
		own:  binary.LittleEndian.Uint32(b[12:]) == 0 && b[18] == standin.Rst,
	}, true
}

// flowKey identifies a flow by its client's address and its route's.
type flowKey struct{ client, route netip.AddrPort }
