package node

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/ring"
)

const (
	// queuedLines bounds the lines that wait for a slow reader of the output.
	queuedLines = 512
	// linesPerSecond bounds the volume; 200 octets a line make 40 KB/s.
	linesPerSecond = 200
	// failuresPerSecond and successesPerSecond bound the lines about single flows.
	// A line takes about 20 µs; the smallest VMs have 60 ms of processor time a
	// second.
	failuresPerSecond  = 20
	successesPerSecond = 3
	// summaryInterval is how often dropped lines are reported.
	summaryInterval = time.Second
)

// Output writes log lines without ever blocking the caller. Lines over the
// budget are dropped and counted; warnings and errors are dropped last.
type Output struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	// second and written are the budget of the current second; they are guarded
	// by the mutex of the logger.
	second  int64
	written int
	mu      sync.Mutex
	// sampleSecond, failures and successes are the budgets of lines about single flows.
	sampleSecond        int64
	failures, successes int
	done                chan struct{}
}

// NewOutput returns an output that writes to w until it is closed.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: ring.New[[]byte](queuedLines), done: make(chan struct{})}
	go o.run(w)
	return o
}

// NewLog returns a logger of key=value lines on the output.
func (o *Output) NewLog(role, name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(o)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l.WithFields(logrus.Fields{"role": role, "node": name})
}

// Sample reports whether one more line about a single flow fits into the budget.
// Lines that do not fit are not even formatted. Failures have the larger budget
// and are counted as dropped beyond it; successes are only a sample anyway.
func (o *Output) Sample(failure bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := time.Now().Unix(); s != o.sampleSecond {
		o.sampleSecond, o.failures, o.successes = s, 0, 0
	}
	if !failure {
		o.successes++
		return o.successes <= successesPerSecond
	}
	o.failures++
	if o.failures > failuresPerSecond {
		o.dropped.Add(1)
		return false
	}
	return true
}

// Write queues a line.
func (o *Output) Write(b []byte) (int, error) {
	if s := time.Now().Unix(); s != o.second {
		o.second, o.written = s, 0
	}
	o.written++
	if o.written > linesPerSecond || !o.lines.Put(append([]byte(nil), b...)) {
		o.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// Close writes what is queued, for at most the given time.
func (o *Output) Close(limit time.Duration) {
	o.lines.Put(nil)
	select {
	case <-o.done:
	case <-time.After(limit):
	}
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	var reported uint64
	var reportedAt time.Time
	for b := range o.lines.Items() {
		if b == nil {
			return
		}
		// Nothing can be done about an output that fails.
		_, _ = w.Write(b)
		if d := o.dropped.Load(); d > reported && time.Since(reportedAt) >= summaryInterval {
			_, _ = fmt.Fprintf(w, "time=%q level=warning msg=\"log lines dropped\" event=logDropped lines=%d\n",
				time.Now().Format(time.RFC3339Nano), d-reported)
			reported, reportedAt = d, time.Now()
		}
	}
}
