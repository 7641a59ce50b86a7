package node

import (
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// TestLoopTimer checks that a core is called when work becomes due earlier than the
// timer was set to fire.
func TestLoopTimer(t *testing.T) {
	l := New(discardLog())
	defer l.Close()
	var due, ticks atomic.Int64
	due.Store(int64(time.Hour))
	l.Attach(Ticker{
		Tick: func(time.Duration) { ticks.Add(1); due.Store(int64(time.Hour)) },
		Due:  func(time.Duration) time.Duration { return time.Duration(due.Load()) },
	})
	time.Sleep(50 * time.Millisecond)
	before := ticks.Load()
	l.Do(func(time.Duration) { due.Store(int64(10 * time.Millisecond)) })
	for begin := time.Now(); ticks.Load() == before; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 2*time.Second {
			t.Fatal("the timer does not fire")
		}
	}
}

// TestSocket checks that datagrams from a socket reach the core, and that Serve
// returns when the socket is closed.
func TestSocket(t *testing.T) {
	l := New(discardLog())
	l.Attach(Ticker{Tick: func(time.Duration) {}, Due: func(time.Duration) time.Duration { return time.Hour }})
	defer l.Close()
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	got, ended := make(chan string, 1), make(chan struct{})
	go func() {
		l.Serve(s, func(_ time.Duration, b []byte, _ netip.AddrPort) { got <- string(b) })
		close(ended)
	}()
	c, err := net.Dial("udp4", s.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write([]byte("packet")); err != nil {
		t.Fatal(err)
	}
	select {
	case b := <-got:
		if b != "packet" {
			t.Errorf("want the datagram \"packet\", have %q", b)
		}
	case <-time.After(2 * time.Second):
		t.Fatal("the datagram did not arrive")
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Error("Serve does not return after the socket is closed")
	}
}
