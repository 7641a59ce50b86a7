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

// controlled starts a control whose process has work while busy is set.
func controlled(signals chan os.Signal, busy, left, reloads *atomic.Int64) chan struct{} {
	ended := make(chan struct{})
	c := Control{
		Signals: signals, Check: 5 * time.Millisecond, Log: quietLog(),
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

func within(t *testing.T, what string, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Fatal("not in time: " + what)
	}
}

// TestControl guards planned stops: work in progress ends first, and a reload
// does not stop the process.
func TestControl(t *testing.T) {
	var busy, left, reloads atomic.Int64
	busy.Store(1)
	signals := make(chan os.Signal, 2)
	ended := controlled(signals, &busy, &left, &reloads)
	signals <- syscall.SIGHUP
	signals <- syscall.SIGTERM
	for begin := time.Now(); left.Load() == 0; time.Sleep(time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the stop does not begin")
		}
	}
	if reloads.Load() == 0 {
		t.Error("want a reload before the stop")
	}
	select {
	case <-ended:
		t.Error("the process ends while it has work")
	case <-time.After(100 * time.Millisecond):
	}
	busy.Store(0)
	within(t, "end after the last work", ended)
}

// TestSecondSignal guards the way to stop a process that does not get done.
func TestSecondSignal(t *testing.T) {
	var busy, left, reloads atomic.Int64
	busy.Store(1)
	signals := make(chan os.Signal, 2)
	ended := controlled(signals, &busy, &left, &reloads)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGTERM
	within(t, "end by the second signal", ended)
}
