package plat

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
)

// callBudget bounds the calls of a process that bring nothing new. A start takes
// up to five; an outage of the platform takes about one a second.
var callBudget = budget.Config{FloorPerSecond: 0.2, Burst: 20}

// minWaited is the share of the wait that it asked for after which a watch call
// without a change counts as a full one.
const minWaited = 0.5

// spending decides whether the calls of a process stay in their budget. Each call
// has its price, and one that returns too early and is repeated costs it many
// times over.
type spending struct {
	mu     sync.Mutex
	budget *budget.Budget
	// over is set if the last call was beyond the budget; logged is when that was
	// last logged.
	over   bool
	logged time.Time
}

// note takes a call that has ended. It reports whether the call was beyond the
// budget, and whether that is to be logged.
func (s *spending) note(now time.Time, o Op, took time.Duration, changes int) (over, log bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.budget == nil {
		s.budget = budget.New(callBudget, now)
	}
	if o.Verb == WatchVerb && (changes > 0 || float64(took) >= minWaited*float64(o.Wait)) {
		s.over = false
		return false, false
	}
	s.over = !s.budget.Retry(now)
	if !s.over || !s.logged.IsZero() && now.Sub(s.logged) < reportInterval {
		return s.over, false
	}
	s.logged = now
	return true, true
}

// spend counts a call that has ended against the budget of the process.
func (c *Client) spend(o Op, began time.Time, changes int, err error) {
	if errors.Is(err, context.Canceled) {
		return // The process has learned what it asked for elsewhere.
	}
	now := time.Now()
	over, log := c.spending.note(now, o, now.Sub(began), changes)
	if !over {
		return
	}
	c.Calls.OverBudget.Add(1)
	if log && c.Log != nil {
		c.Log.WithFields(logrus.Fields{
			"event": "platformBudget", "verb": o.Verb, "kind": o.Kind, "took": now.Sub(began), "reads": c.Calls.Reads.Load(),
			"writes": c.Calls.Writes.Load(), "watches": c.Calls.Watches.Load(), "failures": c.Calls.Failures.Load(),
			"overBudget": c.Calls.OverBudget.Load(),
		}).Warn("more platform calls than the budget allows")
	}
}

// OverBudget reports whether the last call was beyond the budget of the process.
// A caller that repeats calls then slows down.
func (c *Client) OverBudget() bool {
	c.spending.mu.Lock()
	defer c.spending.mu.Unlock()
	return c.spending.over
}
