package flow

import (
	"net/netip"
	"time"
)

// Entry holds the state of one flow of the upstream.
type Entry struct {
	// Balancer is the balancer that last sent a packet of the flow.
	Balancer netip.AddrPort
	// LastPacketAt is when the last packet of the flow arrived.
	LastPacketAt time.Duration
	// addedAt is when the flow was added to the table.
	addedAt time.Duration
	// opening is the sequence number of the caller's opening packet; valid if openingKnown.
	// callerNext is the next one that the upstream expects; valid otherwise, once the flow is
	// open.
	opening, callerNext uint32
	openingKnown        bool
	// firstSeq is the upstream's first sequence number; valid if answered.
	firstSeq uint32
	answered bool
	// open is set once the caller has acknowledged the upstream's answer.
	open bool
	// openedAt is when the opening packet was sent to the upstream; 0 after the first
	// request.
	openedAt time.Duration
	// busy is set while a request is in progress or expected soon. requestAt is when
	// its first data arrived; 0 before.
	busy                         bool
	requestAt                    time.Duration
	callerClosed, upstreamClosed bool
	// Class tells kinds of requests apart.
	Class uint8
	// running is set while a request that has arrived is in progress. atOnce is the
	// number of them when it arrived, itself included, and endedBefore the number that
	// had ended.
	running     bool
	atOnce      int
	endedBefore uint64
	// lastData is the highest sequence number of data from the caller; valid if hasData.
	lastData uint32
	hasData  bool
}

// Open reports whether the flow is established at this upstream.
func (e *Entry) Open() bool { return e.open }

// Busy reports whether a request is in progress on the flow or expected soon.
func (e *Entry) Busy() bool { return e.busy }

// Requested reports whether a request has arrived and the upstream has neither
// answered it nor ended the flow.
func (e *Entry) Requested() bool { return e.busy && e.requestAt > 0 }

// Elapsed returns the time since the arrival of the request in progress; valid if
// Requested.
func (e *Entry) Elapsed(now time.Duration) time.Duration { return now - e.requestAt }

// Age returns the time since the flow was added to the table.
func (e *Entry) Age(now time.Duration) time.Duration { return now - e.addedAt }

// SetOpening records the sequence number of the packet that opens the flow.
func (e *Entry) SetOpening(seq uint32) { e.opening, e.openingKnown = seq, true }

// IsCopy reports whether an opening packet belongs to this flow, however late it arrives, and
// not to another one from the same address. A flow that is not answered yet cannot be
// told from another one. Where the number of its opening packet is unknown, that of the other
// one has to precede what the caller has sent.
func (e *Entry) IsCopy(p *Packet) bool {
	switch {
	case !e.answered && !e.open:
		return true
	case e.openingKnown:
		return p.Seq == e.opening
	}
	return e.callerNext-p.Seq <= maxFlowBytes
}

// maxFlowBytes is how far beyond the first sequence number of either end a later one of the
// same flow may be.
const maxFlowBytes = 1 << 26

// Acknowledges reports whether a packet of the caller can belong to this flow, and not to
// another one from the same address: it acknowledges what the upstream may have sent. If
// the first sequence number is unknown, any packet can.
func (e *Entry) Acknowledges(p *Packet) bool {
	return !e.answered || p.Acked-e.firstSeq <= maxFlowBytes
}

// Answered reports whether the upstream has answered the opening packet.
func (e *Entry) Answered() bool { return e.answered }

// First returns the upstream's first sequence number; answered is false if it is unknown.
func (e *Entry) First() (seq uint32, answered bool) { return e.firstSeq, e.answered }
