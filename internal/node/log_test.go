package node

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"
)

// lockedBuffer is a buffer that may be read while it is written.
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

// TestStuckOutput guards decisions against a reader of the log that does not
// read: no line waits for it.
func TestStuckOutput(t *testing.T) {
	r, w := io.Pipe()
	defer r.Close()
	o := NewOutput(w)
	log := o.NewLog("balancer", "edge-1")
	begin := time.Now()
	for range 4 * queuedLines {
		log.Info("line")
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("%d lines took %v", 4*queuedLines, took)
	}
	if o.Dropped() == 0 {
		t.Error("want dropped lines counted")
	}
	begin = time.Now()
	if o.Close(50 * time.Millisecond); time.Since(begin) > time.Second {
		t.Error("the end waits for the reader")
	}
}

// TestVolume guards the budget at many times the load, and that what was
// dropped is told.
func TestVolume(t *testing.T) {
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
	// The play touches up to four seconds of the clock.
	if n := strings.Count(b.String(), "event=test"); n > 4*linesPerSecond {
		t.Errorf("want at most %d lines, have %d", 4*linesPerSecond, n)
	}
	if !strings.Contains(b.String(), "event=logDropped") {
		t.Error("dropped lines are not told")
	}
}

// TestSample guards lines about failures against being crowded out by successes.
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
	// The loop may touch two seconds of the clock.
	if kept < failuresPerSecond || kept > 2*failuresPerSecond {
		t.Errorf("want %d to %d failures kept, have %d", failuresPerSecond, 2*failuresPerSecond, kept)
	}
}
