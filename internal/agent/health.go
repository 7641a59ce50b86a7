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
	// unhealthyThreshold is the number of consecutive unhealthy answers after
	// which the agent announces itself as draining; a single one may be wrong.
	unhealthyThreshold = 3
)

// upstreamHealth tracks the health of the upstream. Failed connection attempts
// take precedence over the answers of the health path, which may be wrong.
type upstreamHealth struct {
	mu sync.Mutex
	// dialFailed is true if the last connection attempt failed.
	dialFailed bool
	// unhealthyAnswers is the number of consecutive unhealthy answers.
	unhealthyAnswers int
}

// recordDial records a connection attempt and reports whether reachability
// changed.
func (h *upstreamHealth) recordDial(err error) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed = h.dialFailed != (err != nil)
	h.dialFailed = err != nil
	return changed
}

// recordAnswer records an answer of the health path.
func (h *upstreamHealth) recordAnswer(healthy bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if healthy {
		h.unhealthyAnswers = 0
		return
	}
	h.unhealthyAnswers++
}

// reachable reports whether the upstream accepts connections.
func (h *upstreamHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dialFailed
}

// healthy reports whether the agent may announce itself as serving.
func (h *upstreamHealth) healthy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.dialFailed && h.unhealthyAnswers < unhealthyThreshold
}

// recordUpstreamDial records a connection attempt. While the upstream is
// unreachable, new flows are forwarded to other agents.
func (a *Agent) recordUpstreamDial(err error) {
	if !a.health.recordDial(err) {
		return
	}
	a.updateDraining()
	if err != nil {
		a.process.Log.WithError(err).Warn("upstream unreachable")
		return
	}
	a.process.Log.Info("upstream reachable")
}

// checkUpstream checks the upstream every checkInterval until the context ends.
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

// checkOnce requests the health path, or only connects if none is set.
func (a *Agent) checkOnce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	if a.settings.HealthPath == "" {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", strings.TrimPrefix(a.settings.Upstream, "http://"))
		if err == nil {
			c.Close()
		}
		a.recordUpstreamDial(err)
		return
	}
	resp, err := a.handler.upstream.call(ctx, &upstreamRequest{
		method: http.MethodGet, uri: a.settings.HealthPath, header: http.Header{}, body: http.NoBody,
	})
	if err != nil {
		a.health.recordAnswer(false)
		return
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxHealthBody))
	a.health.recordAnswer(resp.StatusCode < http.StatusMultipleChoices)
}

// maxHealthBody is the number of bytes read of a health answer.
const maxHealthBody = 4 << 10
