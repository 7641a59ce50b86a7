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
	// earlyRetryGap replaces it where requests are rejected early. The balancers that the
	// next attempt does not reach would take a new request of the caller for it, and
	// there are many rejections then.
	earlyRetryGap = 30 * time.Millisecond
	// maxRejections bounds the memory for resets.
	maxRejections = 4096
	// callerRetries is the number of attempts that callers make after the first one.
	callerRetries = 2
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
	// resets is the number of resets of the request so far; 0 if unknown.
	resets uint8
}

// rejections keeps recent resets until the next attempt is overdue. An attempt that
// follows a reset belongs to the same request and inherits its age; otherwise
// rejected requests would look like the newest ones.
type rejections struct {
	// recent is ordered by resetAt.
	recent []rejection
	// gap is how long a reset is kept.
	gap time.Duration
}

func (r *rejections) add(now, began time.Duration, from requester, resets uint8) {
	r.expire(now)
	if len(r.recent) < maxRejections {
		r.recent = append(r.recent, rejection{from, began, now, resets})
	}
}

func (r *rejections) expire(now time.Duration) {
	n := 0
	for n < len(r.recent) && now-r.recent[n].resetAt >= r.gap {
		n++
	}
	r.recent = r.recent[n:]
	if len(r.recent) == 0 {
		r.recent = nil
	}
}

// take returns when the request of a new attempt began and how many resets it had, and
// removes the reset that the attempt follows: each reset counts for one attempt.
func (r *rejections) take(now time.Duration, from requester) (requestStart time.Duration, resets uint8) {
	r.expire(now)
	for n, o := range r.recent {
		if o.from == from {
			r.recent = append(r.recent[:n], r.recent[n+1:]...)
			return o.requestStart, o.resets
		}
	}
	return now, 0
}

// recordReset records a reset and tells the balancers in the same place, because
// any of them may get the next attempt. resets is the number of resets of the request.
func (c *Core) recordReset(now, began time.Duration, k flow.Key, resets uint8) {
	if !c.keepReset(now, began, k, resets) {
		return
	}
	payload := binary.BigEndian.AppendUint32(append([]byte(nil), k[:]...), uint32((now-began)/time.Millisecond))
	f := frame.Frame{Kind: frame.Rejected, Balancer: c.self.Peer, Payload: payload}
	if c.self.RejectEarly {
		f.TrialsLeft = resets
	}
	for _, e := range c.view.Balancers() {
		if e.Place == c.self.Place && e.Key != c.ownKey() {
			c.send(&f, e.Peer)
		}
	}
}

// keepReset records a reset at this balancer only. It reports whether an attempt follows:
// after the last one the next request of the caller would inherit the age.
//
// It is all that is done for requests rejected without asking. In deep overload there are
// so many that telling the others of each would fill the link of a small VM, and a
// request rejected at once has no age to inherit.
func (c *Core) keepReset(now, began time.Duration, k flow.Key, resets uint8) bool {
	if c.self.RejectEarly && resets > callerRetries {
		return false
	}
	c.rejections.add(now, began, requesterOf(k), resets)
	return true
}

// handleRejected records a reset that another balancer reports.
func (c *Core) handleRejected(now time.Duration, f *frame.Frame) {
	const size = len(flow.Key{})
	if len(f.Payload) != size+4 {
		c.Counts.Foreign++
		return
	}
	age := time.Duration(binary.BigEndian.Uint32(f.Payload[size:])) * time.Millisecond
	c.rejections.add(now, now-age, requesterOf(flow.Key(f.Payload[:size])), f.TrialsLeft)
}
