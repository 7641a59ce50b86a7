package batch

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"testing"
	"time"
)

const (
	testHeadroom = 16
	testCapacity = 256
)

// open returns a loopback socket whose reads fail after ten seconds.
func open(t testing.TB) *Conn {
	t.Helper()
	u, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	u.SetReadDeadline(time.Now().Add(10 * time.Second))
	c, err := NewConn(u)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// TestRoundTrip guards against packets with lost bytes, in the wrong order, with a wrong
// source or without headroom, and against one invalid address that stops a batch.
func TestRoundTrip(t *testing.T) {
	a, b := open(t), open(t)
	m := newBatch(testHeadroom, testCapacity)
	var want [][]byte
	for i := range Size - 1 {
		p := bytes.Repeat([]byte{byte(i)}, 1+i*4)
		want = append(want, p)
		if i == Size/2 {
			m.Add([]byte("bad"), netip.MustParseAddrPort("127.0.0.1:0"))
		}
		m.Add(p, b.Addr())
	}
	if n := m.Send(a); n != 1 {
		t.Errorf("packets not sent: want 1, have %d", n)
	}
	a.WriteTo(make([]byte, testCapacity+1), b.Addr())
	r := NewReader(b, NewPool(1, testHeadroom, testCapacity))
	var have int
	for have <= len(want) {
		got, err := r.Read()
		if err != nil {
			t.Fatal(err)
		}
		for i := range got.Len() {
			if got.From(i) != a.Addr() {
				t.Errorf("source: want %v, have %v", a.Addr(), got.From(i))
			}
			if last := have == len(want); got.Truncated(i) != last {
				t.Errorf("packet %d: want truncated %v, have %v", have, last, got.Truncated(i))
			} else if !last && !bytes.Equal(got.WithHead(i, testHeadroom)[testHeadroom:], want[have]) {
				t.Errorf("packet %d: want %x, have %x", have, want[have], got.Packet(i))
			}
			have++
		}
	}
}

// TestIdleReaders guards against idle sockets that hold buffers, and against readers
// that starve or stay blocked if the pool has fewer batches than there are readers.
func TestIdleReaders(t *testing.T) {
	const readers, limit = 200, 2
	pool := NewPool(limit, testHeadroom, testCapacity)
	received := make(chan int, readers)
	ended := make(chan error, readers)
	var conns []*Conn
	for i := range readers {
		c := open(t)
		conns = append(conns, c)
		go func() {
			r := NewReader(c, pool)
			defer r.Release()
			for {
				if _, err := r.Read(); err != nil {
					ended <- err
					return
				}
				received <- i
			}
		}()
	}
	for _, c := range conns {
		c.WriteTo([]byte("x"), c.Addr())
	}
	for range readers {
		<-received
	}
	if n := pool.Made(); n > limit {
		t.Errorf("batches: want at most %d, have %d", limit, n)
	}
	for _, c := range conns {
		c.Close()
	}
	for range readers {
		if err := <-ended; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Read of a closed socket: want net.ErrClosed, have %v", err)
		}
	}
}

// TestNoAllocation checks that sending and receiving packets allocates no memory.
func TestNoAllocation(t *testing.T) {
	for _, n := range []int{1, Size} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			a, b := open(t), open(t)
			r := NewReader(b, NewPool(1, testHeadroom, testCapacity))
			m := newBatch(testHeadroom, testCapacity)
			p := make([]byte, 100)
			have := testing.AllocsPerRun(200, func() {
				for range n {
					m.Add(p, b.Addr())
				}
				m.Send(a)
				for left := n; left > 0; {
					got, err := r.Read()
					if err != nil {
						t.Fatal(err)
					}
					left -= got.Len()
				}
			})
			if have != 0 {
				t.Errorf("allocations per batch: want 0, have %v", have)
			}
			runtime.KeepAlive(p)
		})
	}
}
