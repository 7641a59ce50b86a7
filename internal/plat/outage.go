package plat

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// minLogInterval is the least time between two log lines about the platform.
const minLogInterval = 10 * time.Second

// outageLog logs when calls begin to fail and when they succeed again.
type outageLog struct {
	mu sync.Mutex
	// failing is the state that was logged last.
	failing bool
	// loggedAt is when that state was logged.
	loggedAt time.Time
}

// record takes the result of a call and logs a change of state. A change within
// minLogInterval of the last line is logged by a later call if it lasts.
func (l *outageLog) record(log *logrus.Entry, now time.Time, err error) {
	if log == nil || errors.Is(err, context.Canceled) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	failing := err != nil
	if failing == l.failing || !l.loggedAt.IsZero() && now.Sub(l.loggedAt) < minLogInterval {
		return
	}
	l.failing, l.loggedAt = failing, now
	if failing {
		log.WithError(err).WithField("event", "platformDown").Warn("platform calls fail")
	} else {
		log.WithField("event", "platformUp").Info("platform calls succeed again")
	}
}

// failed counts and logs a failed call and returns its error.
func (c *Client) failed(err error) error {
	c.Calls.Failures.Add(1)
	c.outage.record(c.Log, time.Now(), err)
	return err
}
