package agent

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
)

// logInterval is the minimum time between two log lines with the same reason.
const logInterval = 10 * time.Second

// refusalCounter counts refusals by reason and logs the first of each reason
// per interval.
type refusalCounter struct {
	log   *logrus.Entry
	scope tally.Scope

	mu     sync.Mutex
	counts map[refusalKey]*refusalCount
}

// refusalKey identifies what was refused and why.
type refusalKey struct{ what, why string }

type refusalCount struct {
	count   uint64
	logged  time.Time
	counter tally.Counter
}

func newRefusalCounter(log *logrus.Entry, scope tally.Scope) *refusalCounter {
	r := &refusalCounter{log: log, scope: scope, counts: map[refusalKey]*refusalCount{}}
	for what, reasons := range refusalReasons {
		for _, why := range reasons {
			r.counter(refusalKey{what, why})
		}
	}
	return r
}

// counter returns the counter of the metrics, which are served from the first call on.
func (r *refusalCounter) counter(k refusalKey) tally.Counter {
	return r.scope.Tagged(map[string]string{"what": k.what, "reason": k.why}).Counter("refused")
}

// requestReasons lists the reasons of the agent's own answers.
var requestReasons = []string{
	reasonTarget, reasonTimeout, reasonBody, reasonMethod, reasonUnreachable, reasonCallFailed, reasonDeadline, reasonBrokenOff,
	string(admit.QueueFull), string(admit.Draining), string(admit.Deadline),
	string(ticket.ReasonMalformed), string(ticket.ReasonOtherAgent), string(ticket.ReasonOtherInstance), string(ticket.ReasonMAC),
	string(ticket.ReasonForgotten), string(ticket.ReasonOtherRequest), string(ticket.ReasonTickets), string(ticket.ReasonBytes),
}

// refusalReasons lists the reasons by what is refused. Their counters are served from
// the start.
var refusalReasons = map[string][]string{
	"notRun":  requestReasons,
	"unknown": requestReasons,
	"reset":   {reasonCancelled, reasonBrokenOff},
	"flow":    {"refused"},
	"packet": {
		string(encap.FaultTruncated), string(encap.FaultVersion), string(encap.FaultKind), string(encap.FaultList),
		string(encap.FaultKey), string(encap.FaultCheck),
		"longPacket", "unexpectedKind", "wrongService", "wrongInstance", "malformed", "notConfigured", "flowRefused",
		"forwardFailed", "noBalancer", "writeFailed", "resetLimit",
	},
}

// add counts a refusal and logs it if it is the first of its reason in the interval.
func (r *refusalCounter) add(what, why string) {
	if n, first := r.count(what, why); first {
		r.log.WithFields(logrus.Fields{"what": what, "reason": why, "count": n}).Warn("refused")
	}
}

// count counts a refusal and reports whether it is the first of its reason in
// the interval. Reasons are constants, so the map stays small.
func (r *refusalCounter) count(what, why string) (n uint64, first bool) {
	k := refusalKey{what, why}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[k]
	if c == nil {
		c = &refusalCount{counter: r.counter(k)}
		r.counts[k] = c
	}
	c.count++
	c.counter.Inc(1)
	n, first = c.count, now.Sub(c.logged) >= logInterval
	if first {
		c.logged = now
	}
	return n, first
}

// totals returns the counts under the keys "what.reason".
func (r *refusalCounter) totals() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]uint64, len(r.counts))
	for k, c := range r.counts {
		m[k.what+"."+k.why] = c.count
	}
	return m
}
