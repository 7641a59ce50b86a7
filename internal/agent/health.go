package agent

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	checkInterval = 500 * time.Millisecond
	checkTimeout  = 2 * time.Second
	// unhealthyRun is the number of unhealthy answers in a row before the agent
	// reports itself as draining; single ones may be wrong.
	unhealthyRun = 3
)

// upstreamHealth is what the agent knows of its upstream. Connection attempts
// decide; the answers of the health path are a hint, which may be wrong.
type upstreamHealth struct {
	mu sync.Mutex
	// refused is true if the last connection attempt failed.
	refused bool
	// unhealthy is the number of unhealthy answers in a row.
	unhealthy int
}

// dialed records a connection attempt and returns whether the state changed.
func (h *upstreamHealth) dialed(err error) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.refused != (err != nil)
	h.refused = err != nil
	return changed
}

// answered records an answer of the health path.
func (h *upstreamHealth) answered(healthy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if healthy {
		h.unhealthy = 0
		return
	}
	h.unhealthy++
}

// reachable says whether the upstream accepts connections.
func (h *upstreamHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refused
}

// good says whether the agent may report itself as serving.
func (h *upstreamHealth) good() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.refused && h.unhealthy < unhealthyRun
}

// upstreamDialed takes note of a connection attempt. An agent whose upstream
// cannot be reached hands new flows over.
func (a *Agent) upstreamDialed(err error) {
	if !a.health.dialed(err) {
		return
	}
	a.updateGate()
	if err != nil {
		a.frame.Log.WithError(err).Warn("upstream unreachable")
		return
	}
	a.frame.Log.Info("upstream reachable")
}

// checkUpstream checks the upstream from time to time.
func (a *Agent) checkUpstream(ctx context.Context) error {
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for {
		a.checkOnce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// checkOnce asks the health path, or connects if there is none.
func (a *Agent) checkOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if a.settings.HealthPath == "" {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", strings.TrimPrefix(a.settings.Upstream, "http://"))
		if err == nil {
			c.Close()
		}
		a.upstreamDialed(err)
		return
	}
	resp, err := a.handler.upstream.call(ctx, &outgoing{
		method: http.MethodGet, uri: a.settings.HealthPath, header: http.Header{}, body: http.NoBody,
	})
	if err != nil {
		a.health.answered(false)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthAnswer))
	a.health.answered(resp.StatusCode < http.StatusMultipleChoices)
}

// maxHealthAnswer is how much of a health answer is read.
const maxHealthAnswer = 4 << 10
