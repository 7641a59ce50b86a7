package hostd

import (
	"bytes"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// minKeepers and maxKeepers bound the balancers with which an agent that stops leaves the list
	// of its upstream's flows; maxListDatagrams is the number of datagrams from which on these are
	// fewer. Many of them may be restarted at the same time, too.
	minKeepers, maxKeepers, maxListDatagrams = 4, 16, 64
	// Each list is sent listCopies times, and again after listInterval: a balancer that has
	// started meanwhile has none.
	listCopies, listInterval = 2, time.Second
	// maxHandoverGap is the longest time from the last list of a run to the start of the next
	// one. Another run in between would take longer.
	maxHandoverGap = time.Second
)

// handover holds what passes from one run of an agent to the next one: the open flows of the
// upstream. The next run then finds them without packets on trial, and can deny others.
type handover struct {
	// sum is the hash of the latest list that was sent, copies how often it was, and complete
	// whether it had all flows.
	sum      uint64
	complete bool
	copies   int
	sentAt   time.Duration
	version  uint16
	// from is the earlier run whose list was received, which was made at madeAt; heard is the
	// version of that list and parts its parts that are here. keys are the flows taken over.
	from   ident.Instance
	madeAt time.Duration
	heard  uint16
	parts  map[uint8]bool
	keys   []flow.Key
	// startedMillis is the start time of the upstream that held them; 0 if it is not known.
	startedMillis int64
}

// LeaveFlows sends the list of open flows to some balancers, if it has changed.
func (c *Core) LeaveFlows(now time.Duration) {
	h := &c.handover
	if c.upstream.hasEnded(now) {
		return
	}
	keys, opening := c.table.OpenKeys()
	// A flow that is being opened may be open at the upstream before its next list.
	complete := !opening && (c.upstream.hasNoOldFlows() || now-c.started >= c.self.FlowLifetime)
	slices.SortFunc(keys, func(a, b flow.Key) int { return bytes.Compare(a[:], b[:]) })
	sum := xxhash.New()
	for _, k := range keys {
		_, _ = sum.Write(k[:])
	}
	if s := sum.Sum64(); s != h.sum || complete != h.complete || h.version == 0 {
		h.sum, h.complete, h.copies = s, complete, 0
		h.version++
	}
	if h.copies >= listCopies && now-h.sentAt < listInterval {
		return
	}
	h.copies++
	h.sentAt = now
	l := frame.FlowList{
		Instance: c.self.Instance, Version: h.version, StartedMillis: c.upstream.last.StartedMillis, Keys: keys, Complete: complete,
	}
	payloads := l.Payloads()
	keepers := min(max(minKeepers, maxListDatagrams/len(payloads)), maxKeepers)
	for _, b := range payloads {
		for _, a := range c.registration.some(c.self.Hop, keepers) {
			c.send(&frame.Frame{Kind: frame.Flows, Service: c.upstream.id(), Payload: b}, a)
		}
	}
}

// Depart sends the list once more, right before the agent exits.
func (c *Core) Depart(now time.Duration) {
	c.handover.copies = 0
	c.LeaveFlows(now)
}

// handleFlows takes over flows of the run before this one. A balancer that missed a run in
// between may send an older list, which is not complete any more.
func (c *Core) handleFlows(now time.Duration, f *frame.Frame) {
	l, ok := f.FlowList()
	if !ok {
		c.Counts.Foreign++
		return
	}
	h, u := &c.handover, &c.upstream
	age := time.Duration(f.AgeMillis) * time.Millisecond
	sameRun := l.Instance == h.from
	switch {
	case l.Instance == c.self.Instance, u.gone, f.Service != u.id(), now-c.started >= c.self.FlowLifetime:
		return
	case u.reported && l.StartedMillis != u.last.StartedMillis, sameRun && l.Version < h.heard, !sameRun && h.from != 0 && now-age <= h.madeAt:
		return
	case !sameRun || l.Version > h.heard:
		h.heard, h.parts = l.Version, map[uint8]bool{}
	}
	h.from, h.madeAt, h.startedMillis = l.Instance, now-age, l.StartedMillis
	for _, k := range l.Keys {
		c.inherit(now, k)
	}
	h.parts[l.Part] = true
	if l.Complete && !u.inherited && len(h.parts) == int(l.Parts) && age <= now-c.started+maxHandoverGap {
		u.inherited = true
		c.Log.WithFields(logrus.Fields{"event": "flowsInherited", "flows": len(h.keys), "from": l.Instance, "age": age}).Info("the flows of the earlier run of the agent are known")
	}
}

// inherit adds a flow of the earlier run to the table, unless the upstream has shown that it does
// not hold it.
func (c *Core) inherit(now time.Duration, k flow.Key) {
	t := c.trials[k]
	if c.table.Get(k) != nil || t != nil && t.returned {
		return
	}
	e := c.table.AddEstablished(now, k)
	if e == nil {
		return
	}
	c.Counts.Inherited++
	c.handover.keys = append(c.handover.keys, k)
	if t != nil {
		delete(c.trials, k)
		e.Balancer = t.frame.Balancer
		c.sendTaken(now, k, e.Balancer)
		c.passAllKept(now, k, t)
	}
}

// checkInherited drops the flows of the earlier run if the upstream that reports first is not the
// one that held them.
func (c *Core) checkInherited(startedMillis int64) {
	h := &c.handover
	if h.startedMillis == startedMillis {
		return
	}
	for _, k := range h.keys {
		c.table.Drop(k)
	}
	h.keys, c.upstream.inherited = nil, false
}

// some returns the first balancers that answer in the order of a hash with the agent's address;
// all known ones and the seeds if none answers.
func (r *registration) some(self netip.AddrPort, most int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, a := range r.sorted() {
		if r.balancers[a] == 0 {
			addrs = append(addrs, a)
		}
	}
	if len(addrs) == 0 {
		return append(r.sorted(), r.seeds...)
	}
	slices.SortFunc(addrs, func(a, b netip.AddrPort) int {
		return compareHashes(self, a, b)
	})
	return addrs[:min(most, len(addrs))]
}
