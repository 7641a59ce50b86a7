package fabric

import (
	"container/heap"
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// maxDelayed bounds the delayed packets: 64 Ki packets are more than one second
// at 50,000 packets/s and take at most 128 MiB.
const maxDelayed = 64 << 10

// delayed is a packet that waits to be sent.
type delayed struct {
	due  time.Time
	seq  uint64
	conn *net.UDPConn
	to   netip.AddrPort
	buf  *[maxPacket]byte
	size int
}

// delayHeap implements heap.Interface, ordered by due time.
type delayHeap []delayed

func (h delayHeap) Len() int      { return len(h) }
func (h delayHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *delayHeap) Push(x any)   { *h = append(*h, x.(delayed)) }

// Less orders packets that are due at the same time by arrival.
func (h delayHeap) Less(i, j int) bool {
	if h[i].due.Equal(h[j].due) {
		return h[i].seq < h[j].seq
	}
	return h[i].due.Before(h[j].due)
}

func (h *delayHeap) Pop() any {
	n := len(*h) - 1
	d := (*h)[n]
	(*h)[n] = delayed{}
	*h = (*h)[:n]
	return d
}

// delayQueue sends delayed packets when they are due, from one goroutine.
type delayQueue struct {
	// wake holds a value if the earliest due time may have changed.
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

// add queues a copy of the packet. It returns false if the queue is full.
func (q *delayQueue) add(due time.Time, c *net.UDPConn, to netip.AddrPort, p []byte) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.heap) >= maxDelayed {
		return false
	}
	buf := q.pool.Get().(*[maxPacket]byte)
	q.seq++
	heap.Push(&q.heap, delayed{due: due, seq: q.seq, conn: c, to: to, buf: buf, size: copy(buf[:], p)})
	if q.heap[0].seq == q.seq {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// run sends packets when they are due, until the context ends.
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

// sendDue sends the packets that are due and returns the time until the next one.
func (q *delayQueue) sendDue() time.Duration {
	for {
		q.mu.Lock()
		if len(q.heap) == 0 {
			q.mu.Unlock()
			return time.Hour
		}
		if wait := time.Until(q.heap[0].due); wait > 0 {
			q.mu.Unlock()
			return wait
		}
		d := heap.Pop(&q.heap).(delayed)
		q.mu.Unlock()
		d.conn.WriteToUDPAddrPort(d.buf[:d.size], d.to)
		q.pool.Put(d.buf)
	}
}
