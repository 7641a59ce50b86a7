package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu         sync.Mutex
	w          io.Writer
	began      time.Time
	violations int
}

func newRecord(w io.Writer) *record { return &record{w: w, began: time.Now()} }

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *record) write(format string, args ...any) {
	// A record that cannot be written shows up as an empty file.
	_, _ = fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule is broken.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations++
	r.write("BROKEN "+format, args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
