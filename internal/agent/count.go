package agent

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// logInterval is the time in which one reason is logged at most once.
const logInterval = 10 * time.Second

// reasons counts refusals by reason and logs the first of each reason per interval.
type reasons struct {
	log   *logrus.Entry
	scope tally.Scope

	mu   sync.Mutex
	seen map[reason]*refusal
}

// reason names what was refused and why.
type reason struct{ what, why string }

type refusal struct {
	count   uint64
	logged  time.Time
	counter tally.Counter
}

func newReasons(log *logrus.Entry, scope tally.Scope) *reasons {
	return &reasons{log: log, scope: scope, seen: map[reason]*refusal{}}
}

// add counts a refusal and logs it if it is the first of its reason in the interval.
func (r *reasons) add(what, why string) {
	if n, first := r.count(what, why); first {
		r.log.WithFields(logrus.Fields{"what": what, "reason": why, "count": n}).Warn("refused")
	}
}

// count counts a refusal and says whether it is the first of its reason in the
// interval. Reasons are constants, so the map stays small.
func (r *reasons) count(what, why string) (n uint64, first bool) {
	k := reason{what, why}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.seen[k]
	if f == nil {
		f = &refusal{counter: r.scope.Tagged(map[string]string{"what": what, "reason": why}).Counter("refused")}
		r.seen[k] = f
	}
	f.count++
	f.counter.Inc(1)
	n, first = f.count, now.Sub(f.logged) >= logInterval
	if first {
		f.logged = now
	}
	return n, first
}

// values returns the counts under the keys "what.reason".
func (r *reasons) values() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := make(map[string]uint64, len(r.seen))
	for k, f := range r.seen {
		m[k.what+"."+k.why] = f.count
	}
	return m
}
