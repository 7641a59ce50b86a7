package plat

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/budget"
)

// callBudget is the rate and the burst of calls of a process above which calls are
// counted as over budget and logged. No call is held back. Watches that return
// changes cost nothing. Neither do watches that last long enough, see minWaitShare.
// A start makes up to six other calls; an outage of the platform makes about one a
// second.
var callBudget = budget.Config{FloorPerSecond: 0.2, Burst: 20}

// minWaitShare is the share of the requested wait time that a watch without
// changes must last to cost nothing.
const minWaitShare = 0.5

// callMeter decides whether the calls of a process stay within callBudget. It finds
// loops that repeat calls too fast, such as watches that return at once.
type callMeter struct {
	mu     sync.Mutex
	budget *budget.Budget
	// over is true if the last call exceeded the budget.
	over bool
	// loggedAt is when an exceeded budget was last logged.
	loggedAt time.Time
}

// record takes a completed call. It reports whether the call exceeded the budget,
// and whether to log that.
func (m *callMeter) record(now time.Time, o Op, took time.Duration, changes int) (over, log bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.budget == nil {
		m.budget = budget.New(callBudget, now)
	}
	if o.Verb == WatchVerb && (changes > 0 || float64(took) >= minWaitShare*float64(o.Wait)) {
		m.over = false
		return false, false
	}
	m.over = !m.budget.Retry(now)
	if !m.over || !m.loggedAt.IsZero() && now.Sub(m.loggedAt) < minLogInterval {
		return m.over, false
	}
	m.loggedAt = now
	return true, true
}

// recordCall counts a completed call against the budget of the process.
func (c *Client) recordCall(o Op, began time.Time, changes int, err error) {
	if errors.Is(err, context.Canceled) {
		return // The caller no longer needs the result, so it does not repeat the call.
	}
	now := time.Now()
	over, log := c.meter.record(now, o, now.Sub(began), changes)
	if !over {
		return
	}
	c.Calls.OverBudget.Add(1)
	if log && c.Log != nil {
		c.Log.WithFields(logrus.Fields{
			"event": "platformBudget", "verb": o.Verb, "kind": o.Kind, "took": now.Sub(began), "reads": c.Calls.Reads.Load(),
			"writes": c.Calls.Writes.Load(), "watches": c.Calls.Watches.Load(), "failures": c.Calls.Failures.Load(),
			"overBudget": c.Calls.OverBudget.Load(),
		}).Warn("platform calls exceed the budget")
	}
}

// OverBudget reports whether the last call exceeded the budget of the process.
// Callers that repeat calls should then slow down.
func (c *Client) OverBudget() bool {
	c.meter.mu.Lock()
	defer c.meter.mu.Unlock()
	return c.meter.over
}
