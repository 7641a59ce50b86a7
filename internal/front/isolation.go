package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// silenceTime is after what time without a datagram of another process a
	// balancer whose agents do not answer asks the other balancers.
	silenceTime = 500 * time.Millisecond
	// answerTime is how long it waits for their answers: one round trip, and the
	// tenth of a second that a processor quota may hold a process up for.
	answerTime = 200 * time.Millisecond
)

// isolation decides whether a balancer is cut off from all other processes. It is
// then not ready: the fabric still reaches it, but other balancers serve and it
// does not. A failure of the agents alone does not count, since no other balancer
// would serve better.
type isolation struct {
	// heard is when another process last sent something.
	heard time.Duration
	// asked is when the other balancers were asked for a sign of life; 0 if they
	// were not asked since the last one.
	asked    time.Duration
	isolated bool
}

// check takes the share of the agents that do not answer. It reports whether the
// other balancers are to be asked, and whether the isolation has begun.
func (i *isolation) check(now time.Duration, down float64) (ask, begins bool) {
	switch {
	case i.isolated || down < minUsable || now-i.heard < silenceTime:
		return false, false
	case i.asked == 0:
		i.asked = now
		return true, false
	}
	i.isolated = now-i.asked >= answerTime
	return false, i.isolated
}

// alive notes a sign of life and reports whether an isolation has ended.
func (i *isolation) alive(now time.Duration) bool {
	ended := i.isolated
	i.heard, i.asked, i.isolated = now, 0, false
	return ended
}

// Isolated reports whether the balancer is cut off from all other processes.
func (c *Core) Isolated() bool { return c.isolation.isolated }

// checkIsolation finds out whether another process still reaches the balancer.
func (c *Core) checkIsolation(now time.Duration) {
	agents := len(c.members.byAddr)
	if agents == 0 {
		return
	}
	silence := now - c.isolation.heard
	ask, begins := c.isolation.check(now, float64(c.members.down())/float64(agents))
	if ask {
		for _, a := range c.Peers() {
			c.send(&frame.Frame{Kind: frame.Ping}, a)
		}
	}
	if begins {
		c.Log.WithFields(logrus.Fields{
			"event": "isolated", "silentFor": silence, "agents": agents, "balancers": 1 + len(c.Peers()),
		}).Warn("no other process answers, not ready")
	}
}
