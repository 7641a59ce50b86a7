package hostd

import (
	"time"

	"github.com/sirupsen/logrus"
)

// noteFirstLeave handles a deregistration before the first report, which may be a late one of
// an earlier run: the upstream may still run and hold flows, as one that refuses connections.
func (c *Core) noteFirstLeave(now time.Duration, id string) {
	c.upstream.refusing = true
	c.Log.WithFields(logrus.Fields{"event": "unknownLeave", "upstream": id}).Info("deregistration before the first report")
	c.announceChange(now)
}

// OnDeregister handles the deregistration of the upstream with the given name and start
// time, and reports whether it is acknowledged. That of a run that has ended is not.
func (c *Core) OnDeregister(now time.Duration, id string, startedMillis int64) (acknowledged bool) {
	u := &c.upstream
	run := runID{id, startedMillis}
	if !u.leaves(now, run) {
		c.Log.WithFields(logrus.Fields{"event": "lateLeave", "upstream": id, "known": u.last.ID}).Info("outdated deregistration ignored")
		return false
	}
	if run.startedMillis > 0 {
		u.last.ID, u.last.StartedMillis = id, startedMillis
	}
	if u.gone {
		return true
	}
	if !u.reported {
		c.noteFirstLeave(now, id)
		return true
	}
	u.gone, u.contender = true, nil
	c.UpdateListing("")
	c.Log.WithFields(logrus.Fields{"event": "upstreamGone", "upstream": id}).Info("upstream has deregistered")
	c.announceChange(now)
	return true
}
