package front

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// maxSilence is the time without a datagram from any other process after which
	// a balancer whose agents do not answer pings the other balancers.
	maxSilence = 500 * time.Millisecond
	// pongTimeout is how long it waits for their answers. It covers one round
	// trip and the 100 ms for which a CPU quota can stall a process.
	pongTimeout = 200 * time.Millisecond
)

// isolation detects that a balancer is cut off from all other processes. The
// balancer then reports not ready, so that the network fabric, which still reaches
// it, sends packets to balancers that can serve them. A failure of the agents
// alone does not count, since no other balancer would serve better.
type isolation struct {
	// lastHeard is when the last datagram from another process arrived.
	lastHeard time.Duration
	// askedAt is when the other balancers were pinged; 0 if they have not been
	// pinged since lastHeard.
	askedAt  time.Duration
	isolated bool
}

// check updates the state; down is the share of agents that do not answer. It
// reports whether to ping the other balancers and whether isolation begins now.
func (i *isolation) check(now time.Duration, down float64) (ask, begins bool) {
	switch {
	case i.isolated || down < minAnsweringShare || now-i.lastHeard < maxSilence:
		return false, false
	case i.askedAt == 0:
		i.askedAt = now
		return true, false
	}
	i.isolated = now-i.askedAt >= pongTimeout
	return false, i.isolated
}

// markAlive records a datagram from another process and reports whether it ends
// an isolation.
func (i *isolation) markAlive(now time.Duration) bool {
	ended := i.isolated
	i.lastHeard, i.askedAt, i.isolated = now, 0, false
	return ended
}

// Isolated reports whether the balancer is cut off from all other processes.
func (c *Core) Isolated() bool { return c.isolation.isolated }

// checkIsolation checks whether the balancer still gets datagrams from other processes.
func (c *Core) checkIsolation(now time.Duration) {
	agents := len(c.agents.byAddr)
	if agents == 0 {
		return
	}
	silence := now - c.isolation.lastHeard
	ask, begins := c.isolation.check(now, float64(c.agents.downCount())/float64(agents))
	if ask {
		for _, a := range c.Peers() {
			c.send(&frame.Frame{Kind: frame.Ping}, a)
		}
	}
	if begins {
		c.Log.WithFields(logrus.Fields{
			"event": "isolated", "silentFor": silence, "agents": agents, "balancers": 1 + len(c.Peers()),
		}).Warn("no other process answers; balancer is not ready")
	}
}
