package node

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// TestBlockedOutput checks that logging does not block, and that lines are dropped
// and counted, while the reader of the log does not read.
func TestBlockedOutput(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	o := NewOutput(w)
	log := o.NewLog("balancer", "edge-1")
	begin := time.Now()
	for range 4 * maxQueuedLines {
		log.Info("line")
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v", 4*maxQueuedLines, took)
	}
	if o.Dropped() == 0 {
		t.Error("want a count of dropped lines")
	}
	begin = time.Now()
	if o.Close(50 * time.Millisecond); time.Since(begin) > time.Second {
		t.Error("Close waits for the reader")
	}
}

// TestRateLimit checks that far more lines than the limit are cut to it, and that the
// dropped lines are reported.
func TestRateLimit(t *testing.T) {
	var b lockedBuffer
	o := NewOutput(&b)
	log := o.NewLog("agent", "side-1")
	end := time.Now().Add(2500 * time.Millisecond)
	for time.Now().Before(end) {
		for range 20 {
			log.WithField("event", "test").Info("line")
		}
		time.Sleep(5 * time.Millisecond)
	}
	o.Close(time.Second)
	// The loop spans up to four seconds of the clock.
	if n := strings.Count(b.String(), "event=test"); n > 4*maxLinesPerSecond {
		t.Errorf("want at most %d lines, have %d", 4*maxLinesPerSecond, n)
	}
	if !strings.Contains(b.String(), "event=logDropped") {
		t.Error("dropped lines are not reported")
	}
}

// TestSample checks that lines about successes do not use up the limit of lines about
// failures.
func TestSample(t *testing.T) {
	o := NewOutput(io.Discard)
	defer o.Close(time.Second)
	kept := 0
	for range 1000 {
		o.Sample(false)
		if o.Sample(true) {
			kept++
		}
	}
	// The loop may span two seconds of the clock.
	if kept < maxFailuresPerSecond || kept > 2*maxFailuresPerSecond {
		t.Errorf("want %d to %d failures kept, have %d", maxFailuresPerSecond, 2*maxFailuresPerSecond, kept)
	}
}
