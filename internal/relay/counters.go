package relay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// outcome says how a packet was handled.
type outcome uint8

// Outcomes of packets. All from malformed on are refusals or failures.
const (
	established outcome = iota
	newFlow
	reply
	ping
	probeAnswer
	malformed
	tooLong
	unknownID
	unknownKey
	wrongService
	foreignNetwork
	noEndpoint
	evacuated
	noSuchPort
	replyTooLong
	replyAddress
	hopKind
	hopTruncated
	hopVersion
	hopList
	hopKey
	hopCheck
	eventOverflow
	sendFailed
	receiveFailed
	outcomeCount // number of outcomes
)

var outcomeNames = [outcomeCount]string{
	established: "established", newFlow: "newFlows", reply: "replies", ping: "pings", probeAnswer: "probeAnswers",
	malformed: "malformed", tooLong: "tooLong", unknownID: "unknownID", unknownKey: "unknownKey",
	wrongService: "wrongService", foreignNetwork: "foreignNetwork", noEndpoint: "noEndpoint",
	evacuated:  "evacuated",
	noSuchPort: "noSuchPort", replyTooLong: "replyTooLong", replyAddress: "replyAddress",
	hopKind: "hopKind", hopTruncated: "hopTruncated", hopVersion: "hopVersion", hopList: "hopCandidateList",
	hopKey: "hopUnknownKey", hopCheck: "hopCheck", eventOverflow: "eventOverflow",
	sendFailed: "sendFailed", receiveFailed: "receiveFailed",
}

func (o outcome) refused() bool { return o >= malformed }

func outcomeOfRefusal(f encap.RefusalReason) outcome {
	switch f {
	case encap.FaultTruncated:
		return hopTruncated
	case encap.FaultVersion:
		return hopVersion
	case encap.FaultList:
		return hopList
	case encap.FaultKey:
		return hopKey
	case encap.FaultCheck:
		return hopCheck
	}
	return hopKind
}

// counters counts packets by outcome.
type counters struct {
	totals [outcomeCount]atomic.Uint64
	// sources holds the source address of the last packet counted with each
	// refusal, encoded by packAddr. It is zero for sendFailed and receiveFailed.
	sources [outcomeCount]atomic.Uint64
}

func (c *counters) values() map[string]uint64 {
	m := make(map[string]uint64, outcomeCount)
	for o, name := range outcomeNames {
		m[name] = c.totals[o].Load()
	}
	return m
}

// batchCount counts the packets of one batch by outcome, so that the shared
// counters are updated only once per batch and outcome.
type batchCount struct {
	counts [outcomeCount]uint32
	// from holds the source address of the last packet of each refusal. It is
	// not set for sendFailed and receiveFailed.
	from [outcomeCount]netip.AddrPort
}

func (b *batchCount) add(o outcome, from netip.AddrPort) {
	b.counts[o]++
	if o.refused() {
		b.from[o] = from
	}
}

func (b *batchCount) flush(c *counters) {
	for o, v := range b.counts {
		if v == 0 {
			continue
		}
		c.totals[o].Add(uint64(v))
		if outcome(o).refused() {
			c.sources[o].Store(packAddr(b.from[o]))
		}
		b.counts[o] = 0
	}
}

// packAddr encodes an IPv4 address and a port in the low 48 bits. It returns 0
// for other addresses.
func packAddr(a netip.AddrPort) uint64 {
	if !a.Addr().Is4() {
		return 0
	}
	ip := a.Addr().As4()
	return uint64(ip[0])<<40 | uint64(ip[1])<<32 | uint64(ip[2])<<24 | uint64(ip[3])<<16 | uint64(a.Port())
}

func unpackAddr(v uint64) netip.AddrPort {
	ip := [4]byte{byte(v >> 40), byte(v >> 32), byte(v >> 24), byte(v >> 16)}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(v))
}

const (
	countInterval = time.Second
	// refusalLogInterval is the least time between two log lines for one
	// refusal reason.
	refusalLogInterval = 10 * time.Second
)

// countReporter passes the packet counters on to the log.
type countReporter struct {
	b        *Balancer
	reported [outcomeCount]uint64    // totals at the last report
	logged   [outcomeCount]time.Time // times of the last log lines
}

// reportCounts logs refused packets periodically until the context ends.
func (b *Balancer) reportCounts(ctx context.Context) error {
	r := countReporter{b: b}
	for ctx.Err() == nil {
		sleep(ctx, countInterval)
		r.report(time.Now())
	}
	return ctx.Err()
}

func (r *countReporter) report(now time.Time) {
	for o := range outcomeCount {
		total := r.b.counts.totals[o].Load()
		added := total - r.reported[o]
		if added == 0 {
			continue
		}
		r.reported[o] = total
		if !o.refused() || now.Sub(r.logged[o]) < refusalLogInterval {
			continue
		}
		r.logged[o] = now
		r.b.frame.Log.WithFields(logrus.Fields{
			"reason": outcomeNames[o], "packets": added, "source": unpackAddr(r.b.counts.sources[o].Load()),
		}).Warn("packets refused")
	}
}
