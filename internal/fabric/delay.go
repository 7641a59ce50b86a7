package fabric

import (
	"container/heap"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDelayed bounds the packets that wait: 64 Ki packets are a second of
// 50,000 packets/s and at most 128 MiB.
const maxDelayed = 64 << 10

type delayed struct {
	at   time.Time
	seq  uint64
	conn *net.UDPConn
	to   netip.AddrPort
	buf  *[maxPacket]byte
	size int
}

type delayHeap []delayed

func (h delayHeap) Len() int      { return len(h) }
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayed)) }

// Less keeps the order of arrival among packets that are due together.
func (h delayHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h *delayHeap) Pop() any {
	n := len(*h) - 1
	d := (*h)[n]
	(*h)[n] = delayed{}
	*h = (*h)[:n]
	return d
}

// delayQueue sends packets at their time, from one goroutine.
type delayQueue struct {
	// wake holds a value when the first packet due may have changed.
	wake chan struct{}
	pool sync.Pool

	mu   sync.Mutex
	heap delayHeap
	seq  uint64
}

func newDelayQueue() *delayQueue {
	return &delayQueue{
		wake: make(chan struct{}, 1),
		pool: sync.Pool{New: func() any { return new([maxPacket]byte) }},
	}
}

// add copies the packet; it returns false when the queue is full.
func (q *delayQueue) add(at time.Time, c *net.UDPConn, to netip.AddrPort, p []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) >= maxDelayed {
		return false
	}
	buf := q.pool.Get().(*[maxPacket]byte)
	q.seq++
	heap.Push(&q.heap, delayed{at: at, seq: q.seq, conn: c, to: to, buf: buf, size: copy(buf[:], p)})
	if q.heap[0].seq == q.seq {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

func (q *delayQueue) run(ctx context.Context) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		t.Reset(q.sendDue())
		select {
		case <-t.C:
		case <-q.wake:
		case <-ctx.Done():
			return
		}
	}
}

// sendDue sends the packets that are due and returns the time until the next.
func (q *delayQueue) sendDue() time.Duration {
	for {
		q.mu.Lock()
		if len(q.heap) == 0 {
			q.mu.Unlock()
			return time.Hour
		}
		if wait := time.Until(q.heap[0].at); wait > 0 {
			q.mu.Unlock()
			return wait
		}
		d := heap.Pop(&q.heap).(delayed)
		q.mu.Unlock()
		d.conn.WriteToUDPAddrPort(d.buf[:d.size], d.to)
		q.pool.Put(d.buf)
	}
}
