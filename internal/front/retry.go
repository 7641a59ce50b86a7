package front

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
)

const (
	// retryGap is how soon after a reset a caller opens its next flow: it does so
	// at once, and the round trip takes up to 20 ms.
	retryGap = 100 * time.Millisecond
	// maxRejected bounds the memory for resets.
	maxRejected = 4096
)

// requester is what the attempts of one request have in common: the caller's
// VM and the address that it calls. Each attempt has a port of its own.
type requester struct {
	caller netip.Addr
	route  netip.AddrPort
}

func requesterOf(k flow.Key) requester { return requester{k.Caller().Addr(), k.Route()} }

// rejection is an attempt that was reset.
type rejection struct {
	by requester
	// began is when the first attempt of the request began, at the reset.
	began, at time.Duration
}

// rejections remembers resets for as long as the next attempts may take. An
// attempt that follows a reset continues its request, so it is as old as that:
// otherwise rejected requests would look like the newest ones.
type rejections struct {
	// recent is in the order of the resets.
	recent []rejection
}

func (r *rejections) add(now, began time.Duration, by requester) {
	r.expire(now)
	if len(r.recent) < maxRejected {
		r.recent = append(r.recent, rejection{by, began, now})
	}
}

func (r *rejections) expire(now time.Duration) {
	n := 0
	for n < len(r.recent) && now-r.recent[n].at >= retryGap {
		n++
	}
	r.recent = r.recent[n:]
	if len(r.recent) == 0 {
		r.recent = nil
	}
}

// take returns when the request of a new attempt began. Each reset counts for
// one attempt.
func (r *rejections) take(now time.Duration, by requester) time.Duration {
	r.expire(now)
	for n, o := range r.recent {
		if o.by == by {
			r.recent = append(r.recent[:n], r.recent[n+1:]...)
			return o.began
		}
	}
	return now
}

// rejected remembers a reset and tells the balancers of the same place, one of
// which gets the next attempt.
func (c *Core) rejected(now, began time.Duration, k flow.Key) {
	c.rejections.add(now, began, requesterOf(k))
	payload := binary.BigEndian.AppendUint32(append([]byte(nil), k[:]...), uint32((now-began)/time.Millisecond))
	f := frame.Frame{Kind: frame.Rejected, Balancer: c.self.Peer, Payload: payload}
	for _, e := range c.view.Balancers() {
		if e.Place == c.self.Place && e.Key != c.key() {
			c.send(&f, e.Peer)
		}
	}
}

// heardRejected takes the word of another balancer about a reset.
func (c *Core) heardRejected(now time.Duration, f *frame.Frame) {
	const size = len(flow.Key{})
	if len(f.Payload) != size+4 {
		c.Counts.Foreign++
		return
	}
	age := time.Duration(binary.BigEndian.Uint32(f.Payload[size:])) * time.Millisecond
	c.rejections.add(now, now-age, requesterOf(flow.Key(f.Payload[:size])))
}
