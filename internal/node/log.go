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
	// maxQueuedLines is the greatest number of lines that are queued for a slow
	// reader of the output.
	maxQueuedLines = 512
	// maxLinesPerSecond bounds the volume; 200 bytes a line make 40 KB/s.
	maxLinesPerSecond = 200
	// maxFailuresPerSecond and maxSuccessesPerSecond bound the lines about single
	// flows. A line takes about 20 µs of processor time, and the smallest VMs have
	// 60 ms a second.
	maxFailuresPerSecond  = 20
	maxSuccessesPerSecond = 3
	// minDropReportInterval is the least time between two reports of dropped lines.
	minDropReportInterval = time.Second
)

// Output writes log lines without blocking the caller. Lines beyond the limits on
// rate and queue length are dropped and counted.
type Output struct {
	lines   *ring.Ring[[]byte]
	dropped atomic.Uint64
	// second is the current second in Unix time, written the number of lines in it.
	// Both are guarded by the mutex of the logger.
	second  int64
	written int
	// mu guards the fields of Sample.
	mu sync.Mutex
	// failures and successes count the calls of Sample in the second sampleSecond.
	sampleSecond        int64
	failures, successes int
	done                chan struct{}
}

// NewOutput returns an output that writes to w in the background until it is closed.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: ring.New[[]byte](maxQueuedLines), done: make(chan struct{})}
	go o.run(w)
	return o
}

// NewLog returns a logger that writes key=value lines to the output.
func (o *Output) NewLog(role, name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(o)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	return l.WithFields(logrus.Fields{"role": role, "node": name})
}

// Sample reports whether the rate limit allows one more line about a single flow.
// The caller asks before it formats the line, so rejected lines cost nothing.
// Rejected failures count as dropped lines; successes are logged only as a sample
// and do not count.
func (o *Output) Sample(failure bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := time.Now().Unix(); s != o.sampleSecond {
		o.sampleSecond, o.failures, o.successes = s, 0, 0
	}
	if !failure {
		o.successes++
		return o.successes <= maxSuccessesPerSecond
	}
	o.failures++
	if o.failures > maxFailuresPerSecond {
		o.dropped.Add(1)
		return false
	}
	return true
}

// Write implements io.Writer. It queues or drops a line.
func (o *Output) Write(b []byte) (int, error) {
	if s := time.Now().Unix(); s != o.second {
		o.second, o.written = s, 0
	}
	o.written++
	if o.written > maxLinesPerSecond || !o.lines.Put(append([]byte(nil), b...)) {
		o.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of lines dropped so far.
func (o *Output) Dropped() uint64 { return o.dropped.Load() }

// Close writes the queued lines and returns when they are written or the time limit
// has passed.
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
		// There is nowhere to report a failed write.
		_, _ = w.Write(b)
		if d := o.dropped.Load(); d > reported && time.Since(reportedAt) >= minDropReportInterval {
			_, _ = fmt.Fprintf(w, "time=%q level=warning msg=\"log lines dropped\" event=logDropped lines=%d\n",
				time.Now().Format(time.RFC3339Nano), d-reported)
			reported, reportedAt = d, time.Now()
		}
	}
}
