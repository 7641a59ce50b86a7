package flow

import (
	"net/netip"
	"time"
)

// Table holds the flows of one upstream and counts the requests in progress.
// It sees only the headers of packets: a request begins with data from the
// caller and ends with the first data of the answer.
type Table struct {
	entries map[Key]*Entry
	limit   int
	// busy counts the entries with a request in progress.
	busy int
	// released is when requests without an end were last looked for.
	released time.Duration
	// expected are the flows whose first request is about to come, oldest first.
	expected []expected
	// handshake is a moving average of the time from the opening of a flow to its
	// first request.
	handshake time.Duration
	// work is a moving average of the time from a request to its answer.
	work  time.Duration
	swept time.Duration
}

// expected is a flow that counts as busy although it has no request yet.
type expected struct {
	key Key
	at  time.Duration
}

// Entry is one flow of the upstream.
type Entry struct {
	// Balancer is where packets of the flow last came from.
	Balancer netip.AddrPort
	// Seen is when the flow last carried a packet.
	Seen time.Duration
	// first is the upstream's first sequence number; valid if answered.
	first    uint32
	answered bool
	// open is set once the caller has acknowledged the upstream's answer.
	open bool
	// opened is when the opening packet went to the upstream; 0 after the first request.
	opened time.Duration
	// busy is set while a request is in progress or about to come, since is when
	// its first data came; 0 if it has not.
	busy                     bool
	since                    time.Duration
	callerEnded, serverEnded bool
	// lastData is the sequence number of the caller's latest data; valid if hasData.
	lastData uint32
	hasData  bool
}

// Open reports whether the flow is established at this upstream.
func (e *Entry) Open() bool { return e.open }

// Busy reports whether a request is in progress on the flow.
func (e *Entry) Busy() bool { return e.busy }

// Requested reports whether a request has come and the upstream has neither
// answered it nor ended the flow.
func (e *Entry) Requested() bool { return e.busy && e.since > 0 }

// Took returns how long the request in progress has taken so far; valid if one is.
func (e *Entry) Took(now time.Duration) time.Duration { return now - e.since }

// Answered reports whether the upstream has answered the opening packet.
func (e *Entry) Answered() bool { return e.answered }

const (
	// firstWork is the average before the first answer.
	firstWork = 40 * time.Millisecond
	// firstHandshake is the average before the first flow.
	firstHandshake = 8 * time.Millisecond
	// workSamples is the number of requests that the average reaches back.
	workSamples = 16
	// openingTime is how long an opening flow is kept: callers give up 1.4 s
	// after their first opening packet.
	openingTime = 2 * time.Second
	// endedTime is how long an ended flow is kept for the last acknowledgements.
	endedTime = 4 * time.Second
)

// NewTable returns an empty table of up to limit flows.
func NewTable(limit int) *Table {
	return &Table{entries: map[Key]*Entry{}, limit: limit, work: firstWork, handshake: firstHandshake}
}

// Get returns the entry of a flow or nil.
func (t *Table) Get(k Key) *Entry { return t.entries[k] }

// Len returns the number of flows.
func (t *Table) Len() int { return len(t.entries) }

// Busy returns the number of requests in progress and of flows whose first
// request is about to come. A caller that has given up meanwhile sends none.
func (t *Table) Busy(now time.Duration) int {
	for len(t.expected) > 0 && now-t.expected[0].at >= min(expectFactor*t.handshake, expectTime) {
		if e := t.entries[t.expected[0].key]; e != nil && e.since == 0 {
			t.setBusy(e, false)
		}
		t.expected = t.expected[1:]
	}
	if len(t.expected) == 0 {
		t.expected = nil
	}
	return t.busy
}

const (
	// expectTime bounds how long the first request of a flow is expected.
	expectTime = 40 * time.Millisecond
	// expectFactor is how many mean handshakes that is.
	expectFactor = 3
)

// Work returns the mean time from a request to its answer.
func (t *Table) Work() time.Duration { return t.work }

// Handshake returns the mean time from the opening of a flow to its first request.
func (t *Table) Handshake() time.Duration { return t.handshake }

// Opening adds a flow whose opening packet goes to the upstream. It returns
// nil when the table is full.
func (t *Table) Opening(now time.Duration, k Key, balancer netip.AddrPort) *Entry {
	if e := t.entries[k]; e != nil {
		e.Balancer, e.Seen = balancer, now
		return e
	}
	if len(t.entries) >= t.limit {
		return nil
	}
	e := &Entry{Balancer: balancer, Seen: now, opened: now}
	t.entries[k] = e
	// The first request follows within a round trip and needs a slot then.
	t.setBusy(e, true)
	t.expected = append(t.expected, expected{k, now})
	return e
}

// Learn adds a flow that the upstream was seen to hold.
func (t *Table) Learn(now time.Duration, k Key) *Entry {
	e := t.Opening(now, k, netip.AddrPort{})
	if e != nil {
		e.open, e.opened = true, 0
		t.setBusy(e, false)
	}
	return e
}

// FromCaller takes a packet of the flow other than its opening and reports
// whether the flow is held here. A flow that several upstreams answered
// belongs to the one whose sequence number the caller acknowledges.
func (t *Table) FromCaller(now time.Duration, k Key, p *Packet, balancer netip.AddrPort) *Entry {
	e := t.entries[k]
	if e == nil {
		return nil
	}
	if !e.open {
		if !e.answered || p.Acked-e.first > maxFirstAck {
			return nil
		}
		e.open = true
	}
	e.Seen, e.Balancer = now, balancer
	if p.Size > 0 && e.news(p) {
		t.setBusy(e, true)
		if e.since == 0 {
			e.since = now
		}
		if e.opened > 0 {
			t.handshake += (now - e.opened - t.handshake) / workSamples
			e.opened = 0
		}
	}
	if p.Fin {
		// The caller waits for nothing any more.
		e.callerEnded, e.since = true, 0
		t.setBusy(e, false)
	}
	if p.Rst {
		t.end(e)
	}
	return e
}

// news reports whether a caller's packet carries data that the flow has not
// carried before. A caller repeats its request if the answer got lost.
func (e *Entry) news(p *Packet) bool {
	if e.hasData && int32(p.Seq-e.lastData) <= 0 {
		return false
	}
	e.lastData, e.hasData = p.Seq, true
	return true
}

// maxFirstAck is how far beyond the upstream's first sequence number a caller's
// first packet may acknowledge: the handshake and one window of 16 packets.
const maxFirstAck = 16*1200 + 1

// FromUpstream takes a packet that the upstream sent.
func (t *Table) FromUpstream(now time.Duration, k Key, p *Packet) *Entry {
	e := t.entries[k]
	if e == nil {
		return nil
	}
	e.Seen = now
	if p.Syn {
		e.first, e.answered = p.Seq, true
		return e
	}
	if p.Size > 0 || p.Fin {
		// The end of a flow may overtake the answer's data.
		if e.Requested() {
			t.work += (now - e.since - t.work) / workSamples
		}
		e.since = 0
		t.setBusy(e, false)
	}
	if p.Fin {
		e.serverEnded = true
	}
	if p.Rst {
		t.end(e)
	}
	return e
}

func (t *Table) end(e *Entry) {
	e.callerEnded, e.serverEnded = true, true
	t.setBusy(e, false)
}

// Drop removes a flow.
func (t *Table) Drop(k Key) {
	if e := t.entries[k]; e != nil {
		t.setBusy(e, false)
		delete(t.entries, k)
	}
}

// Clear removes all flows.
func (t *Table) Clear() {
	clear(t.entries)
	t.busy = 0
}

func (t *Table) setBusy(e *Entry, busy bool) {
	if e.busy == busy {
		return
	}
	e.busy = busy
	if busy {
		t.busy++
	} else {
		t.busy--
	}
}

const (
	// maxWork bounds how long a request counts as in progress: what takes longer
	// has lost its caller or its answer.
	maxWork = 2 * time.Second
	// workFactor is how many mean times that is for slow upstreams.
	workFactor = 10
	// releaseInterval is how often such requests are looked for.
	releaseInterval = 500 * time.Millisecond
)

// release stops counting requests that have been in progress for too long.
func (t *Table) release(now time.Duration) {
	t.released = now
	limit := max(maxWork, workFactor*t.work)
	for _, e := range t.entries {
		if e.busy && e.since > 0 && now-e.since >= limit {
			t.setBusy(e, false)
			e.since = 0
		}
	}
}

// Sweep removes flows that have ended, never opened or have been idle for the
// given time.
func (t *Table) Sweep(now, idle time.Duration) {
	if now-t.released >= releaseInterval {
		t.release(now)
	}
	if now-t.swept < sweepInterval {
		return
	}
	t.swept = now
	for k, e := range t.entries {
		limit := idle
		switch {
		case e.callerEnded && e.serverEnded:
			limit = endedTime
		case !e.open:
			limit = openingTime
		}
		if now-e.Seen >= limit {
			t.Drop(k)
		}
	}
}
