package stub

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// HashHeader holds the SHA-256 of a sheet or tile in hexadecimal.
const HashHeader = "X-Sha256"

const (
	maxSheetBytes = 16 << 30
	// The size of a tile is between minTileBytes and minTileBytes+tileRangeBytes.
	minTileBytes, tileRangeBytes = 4 << 10, 16 << 10
	chunkBytes                   = 32 << 10
)

// sleep waits for the duration. It returns false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// work holds a slot for the work time. It returns false if the request ended first.
func (u *Upstream) work(r *http.Request) bool {
	if !u.acquireSlot(r) {
		return false
	}
	since := time.Now()
	defer func() { u.releaseSlot(since) }()
	s := u.Settings()
	d := duration(s.WorkMillis)
	if time.Since(u.started) < duration(s.ColdMillis) {
		d = time.Duration(float64(d) * s.ColdFactor)
	}
	return sleep(r.Context(), d)
}

// serveShort answers with the service, the path and the body of the request.
func (u *Upstream) serveShort(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || !u.work(r) {
		return
	}
	fmt.Fprintf(w, "%s %s %s\n", u.Service, r.URL.Path, body)
}

// serveUpdate runs an update once for each request and counts the run. The query
// values delayMillis and fail override the settings for one request.
func (u *Upstream) serveUpdate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s, q := u.Settings(), r.URL.Query()
	if v, err := strconv.ParseFloat(q.Get("delayMillis"), 64); err == nil {
		s.UpdateDelayMillis = v
	}
	if q.Has("fail") {
		s.UpdateFail = UpdateFail(q.Get("fail"))
	}
	if !sleep(r.Context(), duration(s.UpdateDelayMillis)) {
		return
	}
	if s.UpdateFail == FailBefore {
		u.abort(&u.counts.FailedBefore)
	}
	u.mu.Lock()
	u.countRun(r)
	u.mu.Unlock()
	if !u.work(r) {
		return
	}
	if s.UpdateFail == FailAfter {
		u.abort(&u.counts.FailedAfter)
	}
	fmt.Fprintf(w, "%s updated %s\n", u.Service, body)
}

// abort counts a failure and closes the connection without an answer.
func (u *Upstream) abort(n *int) {
	u.mu.Lock()
	*n++
	u.mu.Unlock()
	panic(http.ErrAbortHandler)
}

// serveSheet answers with a body of the size given by the query value "size". The
// query value "bytesPerSecond" limits its rate.
func (u *Upstream) serveSheet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	size, err := strconv.ParseInt(q.Get("size"), 10, 64)
	if err != nil || size < 0 || size > maxSheetBytes {
		http.Error(w, fmt.Sprintf("size %q is not between 0 and %d", q.Get("size"), int64(maxSheetBytes)), http.StatusBadRequest)
		return
	}
	rate := 0.0
	if q.Has("bytesPerSecond") {
		rate, err = strconv.ParseFloat(q.Get("bytesPerSecond"), 64)
	}
	if err != nil || rate < 0 {
		http.Error(w, fmt.Sprintf("bytesPerSecond %q is not a number of at least 0", q.Get("bytesPerSecond")), http.StatusBadRequest)
		return
	}
	u.serveBody(w, r, r.URL.Path, size, rate)
}

// serveTile answers with a body that depends only on the service and the path. It
// holds a slot like a short request.
func (u *Upstream) serveTile(w http.ResponseWriter, r *http.Request) {
	if !u.work(r) {
		return
	}
	sum := sha256.Sum256([]byte(r.URL.Path))
	u.serveBody(w, r, r.URL.Path, minTileBytes+int64(sum[0])*tileRangeBytes/256, 0)
}

// serveBody writes a pseudo-random body in which no two blocks are equal, so that
// lost, duplicated or reordered parts change the hash.
func (u *Upstream) serveBody(w http.ResponseWriter, r *http.Request, name string, size int64, rate float64) {
	seed := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", u.Service, name, size))
	sum := sha256.New()
	io.Copy(sum, io.LimitReader(rand.NewChaCha8(seed), size))
	w.Header().Set(HashHeader, hex.EncodeToString(sum.Sum(nil)))
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	body, b := rand.NewChaCha8(seed), make([]byte, chunkBytes)
	start := time.Now()
	for sent := int64(0); sent < size; {
		p := b[:min(size-sent, chunkBytes)]
		if rate > 0 {
			due := time.Duration(float64(sent) / rate * float64(time.Second))
			if !sleep(r.Context(), due-time.Since(start)) {
				return
			}
		}
		body.Read(p)
		if _, err := w.Write(p); err != nil {
			return
		}
		sent += int64(len(p))
	}
}

// serveFeed sends a numbered event every "everyMillis" until "count" were sent or
// the caller disconnects. It resumes after Last-Event-ID.
func (u *Upstream) serveFeed(w http.ResponseWriter, r *http.Request) {
	u.addFeed(1)
	defer u.addFeed(-1)
	q := r.URL.Query()
	every, _ := strconv.Atoi(q.Get("everyMillis"))
	count, _ := strconv.Atoi(q.Get("count"))
	next, _ := strconv.Atoi(r.Header.Get("Last-Event-ID"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	t := time.NewTicker(time.Duration(max(every, 1)) * time.Millisecond)
	defer t.Stop()
	for n := next + 1; count == 0 || n <= count; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s price %d\n\n", n, u.Service, n); err != nil {
			return
		}
		http.NewResponseController(w).Flush()
		select {
		case <-t.C:
		case <-r.Context().Done():
			return
		}
	}
}
