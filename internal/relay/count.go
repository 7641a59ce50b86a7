package relay

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// outcome is what became of a packet.
type outcome uint8

// Outcomes; those from malformed on are refusals.
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
	outcomes
)

var outcomeNames = [outcomes]string{
	established: "established", newFlow: "newFlows", reply: "replies", ping: "pings", probeAnswer: "probeAnswers",
	malformed: "malformed", tooLong: "tooLong", unknownID: "unknownID", unknownKey: "unknownKey",
	wrongService: "wrongService", foreignNetwork: "foreignNetwork", noEndpoint: "noEndpoint",
	noSuchPort: "noSuchPort", replyTooLong: "replyTooLong", replyAddress: "replyAddress",
	hopKind: "hopKind", hopTruncated: "hopTruncated", hopVersion: "hopVersion", hopList: "hopCandidateList",
	hopKey: "hopUnknownKey", hopCheck: "hopCheck", eventOverflow: "eventOverflow",
	sendFailed: "sendFailed", receiveFailed: "receiveFailed",
}

func (o outcome) refused() bool { return o >= malformed }

func outcomeOf(f encap.Fault) outcome {
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
	totals [outcomes]atomic.Uint64
	// sources holds one source address of the packets refused since the last
	// report, as an IPv4 address and a port in 48 bits.
	sources [outcomes]atomic.Uint64
}

func (c *counters) values() map[string]uint64 {
	m := make(map[string]uint64, outcomes)
	for o, name := range outcomeNames {
		m[name] = c.totals[o].Load()
	}
	return m
}

// batchCount counts the packets of one batch, so that the shared counters are
// touched once for each outcome of a batch.
type batchCount struct {
	counts [outcomes]uint32
	from   [outcomes]netip.AddrPort
}

func (n *batchCount) add(o outcome, from netip.AddrPort) {
	n.counts[o]++
	if o.refused() {
		n.from[o] = from
	}
}

func (n *batchCount) flush(c *counters) {
	for o, v := range n.counts {
		if v == 0 {
			continue
		}
		c.totals[o].Add(uint64(v))
		if outcome(o).refused() {
			c.sources[o].Store(packAddr(n.from[o]))
		}
		n.counts[o] = 0
	}
}

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
	// refusalLogInterval bounds the log to one line per reason and interval.
	refusalLogInterval = 10 * time.Second
)

// countReport carries the counters over to metrics and log.
type countReport struct {
	b        *Balancer
	reported [outcomes]uint64
	logged   [outcomes]time.Time
}

// reportCounts reports the counters until the context ends.
func (b *Balancer) reportCounts(ctx context.Context) error {
	r := countReport{b: b}
	for ctx.Err() == nil {
		pause(ctx, countInterval)
		r.report(time.Now())
	}
	return ctx.Err()
}

func (r *countReport) report(now time.Time) {
	for o := range outcomes {
		total := r.b.counts.totals[o].Load()
		added := total - r.reported[o]
		if added == 0 {
			continue
		}
		r.reported[o] = total
		r.b.frame.Scope.Tagged(map[string]string{"outcome": outcomeNames[o]}).Counter("packets").Inc(int64(added))
		if !o.refused() || now.Sub(r.logged[o]) < refusalLogInterval {
			continue
		}
		r.logged[o] = now
		r.b.frame.Log.WithFields(logrus.Fields{
			"reason": outcomeNames[o], "packets": added, "source": unpackAddr(r.b.counts.sources[o].Load()),
		}).Warn("packets refused")
	}
}
