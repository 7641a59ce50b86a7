package agent

import (
	"maps"
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

	mu     sync.Mutex
	counts map[string]uint64
	logged map[string]time.Time
}

func newReasons(log *logrus.Entry, scope tally.Scope) *reasons {
	return &reasons{log: log, scope: scope, counts: map[string]uint64{}, logged: map[string]time.Time{}}
}

// add counts a refusal. Reasons are constants, so the maps stay small.
func (r *reasons) add(what, reason string) {
	k := what + "." + reason
	now := time.Now()
	r.mu.Lock()
	r.counts[k]++
	n := r.counts[k]
	first := now.Sub(r.logged[k]) >= logInterval
	if first {
		r.logged[k] = now
	}
	r.mu.Unlock()
	r.scope.Tagged(map[string]string{"what": what, "reason": reason}).Counter("refused").Inc(1)
	if first {
		r.log.WithFields(logrus.Fields{"what": what, "reason": reason, "count": n}).Warn("refused")
	}
}

func (r *reasons) values() map[string]uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts)
}
