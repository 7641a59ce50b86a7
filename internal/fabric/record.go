package fabric

import (
	"net/netip"
	"slices"

	"github.com/juju/errors"
)

// Packet is a recorded packet from a caller.
type Packet struct {
	Caller  netip.AddrPort
	Payload []byte
}

// recorder is a ring buffer of the latest packets from callers.
type recorder struct {
	limit   int
	packets []Packet
	next    int // index of the oldest packet once the buffer is full
}

func (r *recorder) add(from netip.AddrPort, p []byte) {
	if r.limit == 0 {
		return
	}
	c := Packet{from, slices.Clone(p)}
	if len(r.packets) < r.limit {
		r.packets = append(r.packets, c)
		return
	}
	r.packets[r.next] = c
	r.next = (r.next + 1) % r.limit
}

// Record starts recording the latest packets from callers, before faults are
// applied. A limit of 0 stops the recording and discards it.
func (f *Fabric) Record(limit int) {
	f.mu.Lock()
	f.recorder = recorder{limit: limit}
	f.mu.Unlock()
}

// Recorded returns the recorded packets, oldest first.
func (f *Fabric) Recorded() []Packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.recorder.packets[f.recorder.next:], f.recorder.packets[:f.recorder.next])
}

// Replay sends a copy of a recorded packet to a balancer from the socket of its
// caller. Faults do not apply to it.
func (f *Fabric) Replay(p Packet, balancer netip.AddrPort) error {
	f.counters.replayed.Add(1)
	return f.send(p.Caller, balancer, p.Payload)
}

// Inject sends a payload to a balancer as if it came from the caller address.
// Replies go to that address. Faults do not apply to the packet.
func (f *Fabric) Inject(caller, balancer netip.AddrPort, payload []byte) error {
	f.counters.injected.Add(1)
	return f.send(caller, balancer, payload)
}

// send sends a payload to a balancer from the socket of a caller.
func (f *Fabric) send(caller, balancer netip.AddrPort, payload []byte) error {
	f.mu.Lock()
	c, err := f.socket(caller)
	f.mu.Unlock()
	if err != nil {
		return errors.Annotatef(err, "opening the socket of caller %s", caller)
	}
	_, err = c.WriteToUDPAddrPort(payload, balancer)
	return errors.Annotatef(err, "sending to balancer %s", balancer)
}
