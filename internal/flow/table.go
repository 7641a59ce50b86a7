package flow

import (
	"net/netip"
	"time"
)

// Table holds the flows of one upstream and counts the requests in progress. It
// inspects only the headers of packets: a request begins with data from the caller
// and ends with the first data of the answer.
type Table struct {
	entries map[Key]*Entry
	limit   int
	// busy counts the entries with a request in progress or expected soon, running those
	// whose request has arrived, and ended the requests that have ended.
	busy, running int
	ended         uint64
	// releasedAt is when requests without an end were last searched for.
	releasedAt time.Duration
	// awaited holds the flows whose first request is expected soon, oldest first.
	awaited []awaited
	// handshake is a moving average of the time from the opening of a flow to its
	// first request.
	handshake time.Duration
	// work is a moving average of the time from a request to its answer.
	work    time.Duration
	sweptAt time.Duration
}

// awaited is a flow that counts as busy although its first request has not arrived.
type awaited struct {
	key Key
	at  time.Duration
}

const (
	// initialWork is the average work time before the first answer.
	initialWork = 40 * time.Millisecond
	// initialHandshake is the average handshake time before the first flow.
	initialHandshake = 8 * time.Millisecond
	// averageSamples is the number of samples that the moving averages cover.
	averageSamples = 16
	// openingTimeout is how long a flow is kept that the upstream does not answer. Callers
	// give up 1.4 s after their first opening packet.
	openingTimeout = 2 * time.Second
	// endedTimeout is how long an ended flow is kept for the last acknowledgements.
	endedTimeout = 4 * time.Second
)

// NewTable returns an empty table of up to limit flows.
func NewTable(limit int) *Table {
	return &Table{entries: map[Key]*Entry{}, limit: limit, work: initialWork, handshake: initialHandshake}
}

// Get returns the entry of a flow or nil.
func (t *Table) Get(k Key) *Entry { return t.entries[k] }

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.entries) }

// Busy returns the number of requests in progress and of flows whose first request is
// expected soon. A flow whose request does not arrive stops counting, because its
// caller may have given up.
func (t *Table) Busy(now time.Duration) int {
	for len(t.awaited) > 0 && now-t.awaited[0].at >= min(expectFactor*t.handshake, maxExpectTime) {
		if e := t.entries[t.awaited[0].key]; e != nil && e.requestAt == 0 {
			t.setBusy(e, false)
		}
		t.awaited = t.awaited[1:]
	}
	if len(t.awaited) == 0 {
		t.awaited = nil
	}
	return t.busy
}

const (
	// maxExpectTime bounds how long the first request of a flow is expected.
	maxExpectTime = 40 * time.Millisecond
	// expectFactor is the same bound as a multiple of the mean handshake time.
	expectFactor = 3
)

// Work returns the mean time from a request to its answer.
func (t *Table) Work() time.Duration { return t.work }

// Handshake returns the mean time from the opening of a flow to its first request.
func (t *Table) Handshake() time.Duration { return t.handshake }

// AddOpening adds a flow whose opening packet is sent to the upstream, or updates an
// existing one. It returns nil if the table is full.
func (t *Table) AddOpening(now time.Duration, k Key, balancer netip.AddrPort) *Entry {
	if e := t.entries[k]; e != nil {
		e.Balancer, e.LastPacketAt = balancer, now
		return e
	}
	if len(t.entries) >= t.limit {
		return nil
	}
	e := &Entry{Balancer: balancer, LastPacketAt: now, addedAt: now, openedAt: now}
	t.entries[k] = e
	// The first request arrives within a round trip and will need a slot.
	t.setBusy(e, true)
	t.awaited = append(t.awaited, awaited{k, now})
	return e
}

// AddEstablished adds a flow that the upstream turned out to hold already. It returns
// nil if the table is full.
func (t *Table) AddEstablished(now time.Duration, k Key) *Entry {
	e := t.AddOpening(now, k, netip.AddrPort{})
	if e != nil {
		e.open, e.openedAt = true, 0
		t.setBusy(e, false)
	}
	return e
}

// FromCaller handles a packet from the caller other than an opening packet. It returns
// the entry of the flow, or nil if the upstream does not hold it. If several upstreams
// have answered the opening, the flow belongs to the one whose sequence number the
// caller acknowledges.
func (t *Table) FromCaller(now time.Duration, k Key, p *Packet, balancer netip.AddrPort) *Entry {
	e := t.entries[k]
	if e == nil {
		return nil
	}
	if !e.open {
		if !e.answered || p.Acked-e.firstSeq > maxFirstAcked {
			return nil
		}
		e.open = true
		// The opening packet that is known may be of an earlier attempt from this address.
		if !e.openingKnown || p.Seq-e.opening > maxFirstAcked {
			e.openingKnown, e.callerNext = false, p.Seq
		}
	}
	e.LastPacketAt, e.Balancer = now, balancer
	if p.Size > 0 && e.isNewData(p) {
		t.setBusy(e, true)
		if e.requestAt == 0 {
			e.requestAt = now
			t.begin(e)
		}
		if e.openedAt > 0 {
			t.handshake += (now - e.openedAt - t.handshake) / averageSamples
			e.openedAt = 0
		}
	}
	if p.Fin {
		// The caller no longer waits for an answer.
		e.callerClosed, e.requestAt = true, 0
		t.setBusy(e, false)
	}
	if p.Rst {
		t.markEnded(e)
	}
	return e
}

// isNewData reports whether a caller's packet contains data that the flow has not
// carried before. A caller retransmits its request if the answer is lost.
func (e *Entry) isNewData(p *Packet) bool {
	if e.hasData && int32(p.Seq-e.lastData) <= 0 {
		return false
	}
	e.lastData, e.hasData = p.Seq, true
	return true
}

// maxFirstAcked is how far beyond the upstream's first sequence number the first
// acknowledgement of a caller may be: the handshake and one window of 16 packets.
const maxFirstAcked = 16*1200 + 1

// FromUpstream handles a packet from the upstream. It returns the entry of the flow, or
// nil if it is not in the table.
func (t *Table) FromUpstream(now time.Duration, k Key, p *Packet) *Entry {
	e := t.entries[k]
	if e == nil {
		return nil
	}
	e.LastPacketAt = now
	if p.Syn {
		if e.answered && p.Seq != e.firstSeq {
			// The upstream has opened another flow from the same address.
			t.Drop(k)
			e = t.AddOpening(now, k, e.Balancer)
		}
		e.firstSeq, e.answered = p.Seq, true
		return e
	}
	e.callerNext = p.Acked
	if p.Size > 0 || p.Fin {
		// A FIN may overtake the data of the answer.
		if e.Requested() {
			t.work += (now - e.requestAt - t.work) / averageSamples
		}
		e.requestAt = 0
		t.setBusy(e, false)
	}
	if p.Fin {
		e.upstreamClosed = true
	}
	if p.Rst {
		t.markEnded(e)
	}
	return e
}

func (t *Table) markEnded(e *Entry) {
	e.callerClosed, e.upstreamClosed = true, true
	t.setBusy(e, false)
}

// Drop removes a flow.
func (t *Table) Drop(k Key) {
	if e := t.entries[k]; e != nil {
		t.setBusy(e, false)
		delete(t.entries, k)
	}
}

// OpenKeys returns the flows that are open, in no order, and whether others are being opened.
func (t *Table) OpenKeys() (ks []Key, opening bool) {
	for k, e := range t.entries {
		switch {
		case !e.open:
			opening = true
		case !e.callerClosed || !e.upstreamClosed:
			ks = append(ks, k)
		}
	}
	return ks, opening
}

// DropBefore removes the flows that were added before a time and returns their number.
func (t *Table) DropBefore(at time.Duration) int {
	before := len(t.entries)
	for k, e := range t.entries {
		if e.addedAt < at {
			t.Drop(k)
		}
	}
	return before - len(t.entries)
}

// begin counts a request that has arrived.
func (t *Table) begin(e *Entry) {
	if e.running {
		return
	}
	e.running = true
	t.running++
	e.atOnce, e.endedBefore = t.running, t.ended
}

// AtOnce returns the number of requests in progress when the one in progress arrived,
// itself included; valid if Requested.
func (e *Entry) AtOnce() int { return e.atOnce }

// EndsFirst reports whether no request has ended since the one in progress arrived; valid
// if Requested.
func (t *Table) EndsFirst(e *Entry) bool { return e.endedBefore == t.ended }

func (t *Table) setBusy(e *Entry, busy bool) {
	if e.busy == busy {
		return
	}
	if e.running && !busy {
		e.running = false
		t.running--
		t.ended++
	}
	e.busy = busy
	if busy {
		t.busy++
	} else {
		t.busy--
	}
}

const (
	// minReleaseTime is the minimum time after which a request no longer counts as in
	// progress. A request that takes longer has lost its caller or its answer.
	minReleaseTime = 2 * time.Second
	// releaseFactor is the same time as a multiple of the mean work time. It applies
	// to slow upstreams.
	releaseFactor = 10
	// releaseInterval is the time between two searches for such requests.
	releaseInterval = 500 * time.Millisecond
)

// releaseStale stops counting requests that have been in progress for too long.
func (t *Table) releaseStale(now time.Duration) {
	t.releasedAt = now
	limit := max(minReleaseTime, releaseFactor*t.work)
	for _, e := range t.entries {
		if e.busy && e.requestAt > 0 && now-e.requestAt >= limit {
			t.setBusy(e, false)
			e.requestAt = 0
		}
	}
}

// Sweep removes flows that have ended, were never answered or have been idle for the
// given time. It also stops counting requests without an end. It may be called often:
// both have intervals of their own.
func (t *Table) Sweep(now, idle time.Duration) {
	if now-t.releasedAt >= releaseInterval {
		t.releaseStale(now)
	}
	if now-t.sweptAt < sweepInterval {
		return
	}
	t.sweptAt = now
	for k, e := range t.entries {
		limit := idle
		switch {
		case e.callerClosed && e.upstreamClosed:
			limit = endedTimeout
		case !e.open && !e.answered:
			limit = openingTimeout
		}
		if now-e.LastPacketAt >= limit {
			t.Drop(k)
		}
	}
}
