package frame

import (
	"encoding/binary"
	"net/netip"
)

// takenFlags returns the flags that only a Taken has.
func (f *Frame) takenFlags() (flags byte) {
	if f.Open {
		flags |= flagOpen
	}
	if f.Answered {
		flags |= flagAnswered
	}
	return flags
}

// takenAddr returns what a Taken has in the place of the balancer's address, which its
// receiver does not need.
func (f *Frame) takenAddr() netip.AddrPort {
	if !f.Answered {
		return f.Balancer
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte(binary.BigEndian.AppendUint32(nil, f.First))), 0)
}

func (f *Frame) parseTakenFields(flags byte) {
	f.Open, f.Answered, f.First = false, false, 0
	if f.Kind != Taken {
		return
	}
	f.Open, f.Answered = flags&flagOpen != 0, flags&flagAnswered != 0
	if f.Answered {
		first := f.Balancer.Addr().As4()
		f.First, f.Balancer = binary.BigEndian.Uint32(first[:]), netip.AddrPort{}
	}
}
