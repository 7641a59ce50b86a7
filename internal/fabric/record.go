package fabric

import (
	"net/netip"
	"slices"

	"github.com/juju/errors"
)

// Packet is a recorded packet of a caller.
type Packet struct {
	Caller  netip.AddrPort
	Payload []byte
}

// recorder keeps the latest packets of callers.
type recorder struct {
	limit   int
	packets []Packet
	next    int
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

// Record starts to keep copies of the latest packets of callers, before any
// fault acts on them. A limit of 0 ends it and drops the copies.
func (f *Fabric) Record(limit int) {
	f.mu.Lock()
	f.record = recorder{limit: limit}
	f.mu.Unlock()
}

// Recorded returns the recorded packets, the oldest first.
func (f *Fabric) Recorded() []Packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Concat(f.record.packets[f.record.next:], f.record.packets[:f.record.next])
}

// Replay sends a copy of a recorded packet to a balancer, from the caller
// address that it came from. No fault acts on it.
func (f *Fabric) Replay(p Packet, balancer netip.AddrPort) error {
	f.counters.replayed.Add(1)
	return f.send(p.Caller, balancer, p.Payload)
}

// Inject sends any payload to a balancer as though the caller address had sent
// it; replies go to that address. No fault acts on it.
func (f *Fabric) Inject(caller, balancer netip.AddrPort, payload []byte) error {
	f.counters.injected.Add(1)
	return f.send(caller, balancer, payload)
}

func (f *Fabric) send(caller, balancer netip.AddrPort, payload []byte) error {
	f.mu.Lock()
	c, err := f.socket(caller)
	f.mu.Unlock()
	if err != nil {
		return errors.Annotatef(err, "opening a socket for caller %s", caller)
	}
	_, err = c.WriteToUDPAddrPort(payload, balancer)
	return errors.Annotatef(err, "sending to %s", balancer)
}
