package agent

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/encap"
)

// State octets of probe answers and pongs.
const (
	stateServing  byte = 0
	stateDraining byte = 1
)

// answerProbe tells a balancer the agent's service, instance and state. They
// are the agent's own even if the probe asked for others, so that the balancer
// learns that the address was reused.
func (c *hopConn) answerProbe(to netip.AddrPort) {
	c.probes.Add(1)
	s := [1]byte{stateServing}
	if !c.agent.serving() {
		s[0] = stateDraining
	}
	if err := c.send(encap.ProbeAnswer, netip.AddrPort{}, s[:], to); err != nil {
		c.refuse("writeFailed")
	}
}

// pong handles the answer to a ping, which a balancer also sends unasked when
// it begins to drain.
func (c *hopConn) pong(payload []byte, from netip.AddrPort) {
	if len(payload) < 1 {
		c.refuse("malformed")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if payload[0] == stateDraining {
		c.set.Draining(time.Now(), from)
		return
	}
	c.set.Delivered(time.Now(), from)
}

// pingTick is how often the set is asked whether to ping.
const pingTick = 100 * time.Millisecond

// ping keeps the set of balancers from running empty.
func (c *hopConn) ping(ctx context.Context) error {
	t := time.NewTicker(pingTick)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		to, ok := c.set.Ping(time.Now())
		c.mu.Unlock()
		if !ok {
			continue
		}
		if err := c.send(encap.Ping, netip.AddrPort{}, nil, to); err != nil {
			c.refuse("writeFailed")
		}
	}
}

const (
	// maxResets bounds the stateless resets in a second.
	maxResets = 1000
	// tokenSize is the length of a stateless reset token (RFC 9000 section 10.3).
	tokenSize = 16
	// minReset is the length of the shortest stateless reset.
	minReset = 5 + tokenSize
	// maxReset is long enough to look like an ordinary short packet.
	maxReset = 40
	// fixedBits are the first two bits of a short header.
	fixedBits = 0x40
	fixedMask = 0x3f
	maxKeys   = 8
)

// reset tells a caller that a flow of an earlier instance is lost, through the
// balancer that delivered its packet. The earlier instance derived the token
// from the key that was current at its start, which may be any accepted key, so
// one reset is sent for each. Resets are shorter than the packet, so that two
// endpoints without state do not answer each other for ever. Handshake packets
// are answered too: a caller sends only those until its handshake is confirmed,
// and it knows the token from the end of the handshake on.
func (c *hopConn) reset(h *encap.Header, packet []byte, via netip.AddrPort) {
	q, ok := connid.ParseHeader(packet)
	if !ok || q.Long && !q.Handshake || len(packet) <= minReset {
		return
	}
	if !c.resets.allow(time.Now()) {
		c.refuse("resetLimit")
		return
	}
	n := min(len(packet)-1, maxReset)
	set := c.agent.keys()
	for number := range uint8(maxKeys) {
		k := set.Key(number)
		if k == nil {
			continue
		}
		var b [maxReset]byte
		rand.Read(b[:n-tokenSize])
		b[0] = fixedBits | b[0]&fixedMask
		mac := hmac.New(sha256.New, k.ResetKey[:])
		mac.Write(q.ID)
		copy(b[n-tokenSize:n], mac.Sum(nil))
		if err := c.send(encap.Reply, h.Caller, b[:n], via); err != nil {
			c.refuse("writeFailed")
			return
		}
		c.resetsSent.Add(1)
	}
}

// rateLimit allows a number of events in each second.
type rateLimit struct {
	perSecond int

	second int64
	used   int
}

func (r *rateLimit) allow(now time.Time) bool {
	if s := now.Unix(); s != r.second {
		r.second, r.used = s, 0
	}
	r.used++
	return r.used <= r.perSecond
}
