package front

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// retryGap is the longest time from a reset to the caller's next opening packet.
	// The caller retries at once, and the round trip takes up to 20 ms.
	retryGap = 100 * time.Millisecond
	// maxRejections bounds the memory for resets.
	maxRejections = 4096
)

// requester identifies the attempts of one request by the caller's VM and the
// address that it calls. Each attempt has its own caller port.
type requester struct {
	caller netip.Addr
	route  netip.AddrPort
}

func requesterOf(k flow.Key) requester { return requester{k.Caller().Addr(), k.Route()} }

// rejection records an attempt to open a flow that was reset.
type rejection struct {
	from requester
	// requestStart is when the first attempt of the request began.
	requestStart, resetAt time.Duration
}

// rejections keeps recent resets until retryGap has passed. An attempt that
// follows a reset belongs to the same request and inherits its age; otherwise
// rejected requests would look like the newest ones.
type rejections struct {
	// recent is ordered by resetAt.
	recent []rejection
}

func (r *rejections) add(now, began time.Duration, from requester) {
	r.expire(now)
	if len(r.recent) < maxRejections {
		r.recent = append(r.recent, rejection{from, began, now})
	}
}

func (r *rejections) expire(now time.Duration) {
	n := 0
	for n < len(r.recent) && now-r.recent[n].resetAt >= retryGap {
		n++
	}
	r.recent = r.recent[n:]
	if len(r.recent) == 0 {
		r.recent = nil
	}
}

// takeStart returns when the request of a new attempt began, and removes the
// reset that the attempt follows: each reset counts for one attempt.
func (r *rejections) takeStart(now time.Duration, from requester) time.Duration {
	r.expire(now)
	for n, o := range r.recent {
		if o.from == from {
			r.recent = append(r.recent[:n], r.recent[n+1:]...)
			return o.requestStart
		}
	}
	return now
}

// recordReset records a reset and tells the balancers in the same place, because
// any of them may get the next attempt.
func (c *Core) recordReset(now, began time.Duration, k flow.Key) {
	c.rejections.add(now, began, requesterOf(k))
	payload := binary.BigEndian.AppendUint32(append([]byte(nil), k[:]...), uint32((now-began)/time.Millisecond))
	f := frame.Frame{Kind: frame.Rejected, Balancer: c.self.Peer, Payload: payload}
	for _, e := range c.view.Balancers() {
		if e.Place == c.self.Place && e.Key != c.ownKey() {
			c.send(&f, e.Peer)
		}
	}
}

// handleRejected records a reset that another balancer reports.
func (c *Core) handleRejected(now time.Duration, f *frame.Frame) {
	const size = len(flow.Key{})
	if len(f.Payload) != size+4 {
		c.Counts.Foreign++
		return
	}
	age := time.Duration(binary.BigEndian.Uint32(f.Payload[size:])) * time.Millisecond
	c.rejections.add(now, now-age, requesterOf(flow.Key(f.Payload[:size])))
}
