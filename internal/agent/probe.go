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

// State bytes of probe answers and pongs.
const (
	stateServing  byte = 0
	stateDraining byte = 1
)

// answerProbe sends a balancer the agent's service, instance and state. It
// sends the agent's own values even if the probe was for others, so that the
// balancer detects a reused address.
func (c *hopConn) answerProbe(to netip.AddrPort) {
	c.probes.Add(1)
	s := [1]byte{stateServing}
	if !c.agent.serving() {
		s[0] = stateDraining
	}
	if err := c.send(encap.ProbeAnswer, netip.AddrPort{}, s[:], to); err != nil {
		c.countRefusal("writeFailed")
	}
}

// handlePong handles the answer to a ping. A draining balancer also sends it
// unsolicited.
func (c *hopConn) handlePong(payload []byte, from netip.AddrPort) {
	if len(payload) < 1 {
		c.countRefusal("malformed")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if payload[0] == stateDraining {
		c.replySet.Draining(time.Now(), from)
		return
	}
	c.replySet.MarkReachable(time.Now(), from)
}

// pingCheckInterval is the time between two checks whether a ping is due.
const pingCheckInterval = 100 * time.Millisecond

// pingBalancers pings balancers as needed to keep the reply set from running
// empty.
func (c *hopConn) pingBalancers(ctx context.Context) error {
	t := time.NewTicker(pingCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		c.mu.Lock()
		to, ok := c.replySet.Ping(time.Now())
		c.mu.Unlock()
		if !ok {
			continue
		}
		if err := c.send(encap.Ping, netip.AddrPort{}, nil, to); err != nil {
			c.countRefusal("writeFailed")
		}
	}
}

const (
	// maxResetsPerSecond bounds the packets per second that are answered with
	// stateless resets. Each of them gets one reset per accepted key.
	maxResetsPerSecond = 1000
	// resetTokenSize is the length of a stateless reset token (RFC 9000 section 10.3).
	resetTokenSize = 16
	// minResetSize is the length of the shortest stateless reset.
	minResetSize = 5 + resetTokenSize
	// maxResetSize makes a reset look like an ordinary short-header packet.
	maxResetSize = 40
	// shortHeaderBits are the first two bits of a short header; the others are
	// random.
	shortHeaderBits = 0x40
	randomBitsMask  = 0x3f
	maxKeyNumbers   = 8
)

// sendResets tells a caller that a flow of an earlier instance is lost, through
// the balancer that delivered its packet. The earlier instance derived the
// reset token from the key that was current at its start, which may be any
// accepted key, so one reset is sent per key. A reset is shorter than the
// packet it answers, so that two endpoints without state do not answer each
// other forever. Handshake packets are answered too: a caller sends only these
// until its handshake is confirmed, but it knows the token as soon as the
// handshake completes.
func (c *hopConn) sendResets(h *encap.Header, packet []byte, via netip.AddrPort) {
	q, ok := connid.ParseHeader(packet)
	if !ok || q.Long && !q.Handshake || len(packet) <= minResetSize {
		return
	}
	if !c.resetLimit.allow(time.Now()) {
		c.countRefusal("resetLimit")
		return
	}
	n := min(len(packet)-1, maxResetSize)
	set := c.agent.keys()
	for number := range uint8(maxKeyNumbers) {
		k := set.Key(number)
		if k == nil {
			continue
		}
		var b [maxResetSize]byte
		rand.Read(b[:n-resetTokenSize])
		b[0] = shortHeaderBits | b[0]&randomBitsMask
		mac := hmac.New(sha256.New, k.ResetKey[:])
		mac.Write(q.ID)
		copy(b[n-resetTokenSize:n], mac.Sum(nil))
		if err := c.send(encap.Reply, h.Caller, b[:n], via); err != nil {
			c.countRefusal("writeFailed")
			return
		}
		c.resetsSent.Add(1)
	}
}

// rateLimit allows a fixed number of events in each second of the clock.
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
