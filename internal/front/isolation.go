package front

import (
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// maxSilence is the time without a datagram from an agent after which a balancer
	// whose agents do not answer pings the other balancers, and the time after which
	// it pings them again.
	maxSilence = 500 * time.Millisecond
	// pongTimeout is how long it waits for their answers. It covers one round
	// trip and the 100 ms for which a CPU quota can stall a process.
	pongTimeout = 200 * time.Millisecond
)

// isolation detects that a balancer is cut off from most other processes. The
// balancer then reports not ready, so that the network fabric, which still reaches
// it, sends packets to balancers that can serve them. A failure of the agents
// alone does not count, since no other balancer would serve better: most balancers
// answer then. A few balancers that are cut off together hear only each other.
type isolation struct {
	// lastAgent is when the last datagram from an agent arrived.
	lastAgent time.Duration
	// askedAt is when the other balancers were last pinged; 0 if they have not been
	// since lastAgent.
	askedAt time.Duration
	// answered are the balancers that have sent a datagram since askedAt.
	answered map[netip.AddrPort]struct{}
	isolated bool
}

// check updates the state. down is the share of agents that do not answer, peers the
// number of other balancers. It reports whether to ping those and whether isolation
// begins now.
func (i *isolation) check(now time.Duration, down float64, peers int) (ask, begins bool) {
	switch {
	case i.isolated || down < minAnsweringShare || now-i.lastAgent < maxSilence:
		return false, false
	case i.askedAt == 0 || i.mostAnswer(peers) && now-i.askedAt >= maxSilence:
		i.askedAt, i.answered = now, map[netip.AddrPort]struct{}{}
		return true, false
	}
	i.isolated = now-i.askedAt >= pongTimeout && !i.mostAnswer(peers)
	return false, i.isolated
}

// mostAnswer reports whether at least half of the other balancers answer.
func (i *isolation) mostAnswer(peers int) bool { return peers > 0 && 2*len(i.answered) >= peers }

// markAgent records a datagram from an agent and reports whether it ends an isolation.
func (i *isolation) markAgent(now time.Duration) bool {
	ended := i.isolated
	*i = isolation{lastAgent: now}
	return ended
}

// markBalancer records a datagram from another balancer and reports whether it ends an
// isolation.
func (i *isolation) markBalancer(from netip.AddrPort, peers int) bool {
	if i.askedAt == 0 {
		return false
	}
	i.answered[from] = struct{}{}
	ended := i.isolated && i.mostAnswer(peers)
	i.isolated = i.isolated && !ended
	return ended
}

// Isolated reports whether the balancer is cut off from most other processes.
func (c *Core) Isolated() bool { return c.isolation.isolated }

// markAlive records a datagram from another process.
func (c *Core) markAlive(now time.Duration, from netip.AddrPort) {
	var ended bool
	if c.agents.byAddr[from] == nil {
		c.peers.heardAt = now
	}
	if c.agents.byAddr[from] != nil {
		ended = c.isolation.markAgent(now)
		c.markAgentAlive(now, from)
	} else if c.isolation.askedAt > 0 {
		ended = c.isolation.markBalancer(from, len(c.Peers()))
	}
	if ended {
		c.agents.restartTimeouts(now)
		c.Log.WithField("event", "reachable").WithField("from", from).Info("other processes answer again")
	}
}

// checkIsolation checks whether the balancer still gets datagrams from other processes.
func (c *Core) checkIsolation(now time.Duration) {
	agents := len(c.agents.byAddr)
	if agents == 0 {
		return
	}
	silence, peers := now-c.isolation.lastAgent, c.Peers()
	ask, begins := c.isolation.check(now, float64(c.agents.downCount())/float64(agents), len(peers))
	if ask {
		for _, a := range peers {
			c.send(&frame.Frame{Kind: frame.Ping}, a)
		}
	}
	if begins {
		c.Log.WithFields(logrus.Fields{
			"event": "isolated", "silentFor": silence, "agents": agents, "balancers": 1 + len(peers), "answering": len(c.isolation.answered),
		}).Warn("most other processes do not answer; balancer is not ready")
	}
}
