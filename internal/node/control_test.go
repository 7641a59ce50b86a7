package node

import (
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/drain"
)

// startControl runs a Control whose process has work while busy is above zero. It
// returns a channel that is closed when Run returns.
func startControl(signals chan os.Signal, busy, left, reloads *atomic.Int64) chan struct{} {
	ended := make(chan struct{})
	c := Control{
		Signals: signals, Check: 5 * time.Millisecond, Log: discardLog(),
		Limits: drain.Limits{Minimum: 20 * time.Millisecond, Quiet: 20 * time.Millisecond},
		Reload: func() ([]netip.AddrPort, bool) { return nil, true },
		Seeds:  func([]netip.AddrPort) { reloads.Add(1) },
		Leave:  func() { left.Add(1) },
		Busy:   func() bool { return busy.Load() > 0 },
	}
	go func() {
		c.Run()
		close(ended)
	}()
	return ended
}

// waitFor fails the test if done is not closed within five seconds.
func waitFor(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("timed out: " + what)
	}
}

// TestControl checks that a process drains its work before it ends, and that a
// reload does not end it.
func TestControl(t *testing.T) {
	var busy, left, reloads atomic.Int64
	busy.Store(1)
	signals := make(chan os.Signal, 2)
	ended := startControl(signals, &busy, &left, &reloads)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	for begin := time.Now(); left.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the drain does not begin")
		}
	}
	if reloads.Load() == 0 {
		t.Error("want a reload before the drain")
	}
	select {
	case <-ended:
		t.Error("the process ends while it has work")
	case <-time.After(100 * time.Millisecond):
	}
	busy.Store(0)
	waitFor(t, "end after the last work", ended)
}

// TestSecondSignal checks that a second signal ends a process whose work does not
// end.
func TestSecondSignal(t *testing.T) {
	var busy, left, reloads atomic.Int64
	busy.Store(1)
	signals := make(chan os.Signal, 2)
	ended := startControl(signals, &busy, &left, &reloads)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	waitFor(t, "end by the second signal", ended)
}
