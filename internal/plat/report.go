package plat

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// reportInterval is the least time between two log lines about the platform.
const reportInterval = 10 * time.Second

// report logs when calls begin to fail and when they succeed again.
type report struct {
	mu sync.Mutex
	// failing is the state that was logged last, at the given time.
	failing bool
	at      time.Time
}

// note takes the outcome of a call. A change within reportInterval of the last
// line is logged by a later call if it lasts.
func (r *report) note(log *logrus.Entry, now time.Time, err error) {
	if log == nil || errors.Is(err, context.Canceled) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	failing := err != nil
	if failing == r.failing || !r.at.IsZero() && now.Sub(r.at) < reportInterval {
		return
	}
	r.failing, r.at = failing, now
	if failing {
		log.WithError(err).WithField("event", "platformDown").Warn("platform calls fail")
	} else {
		log.WithField("event", "platformUp").Info("platform calls succeed again")
	}
}

func (c *Client) failed(err error) error {
	c.Calls.Failures.Add(1)
	c.report.note(c.Log, time.Now(), err)
	return err
}
