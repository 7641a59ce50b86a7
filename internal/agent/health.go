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
	// checkInterval is the time between two checks of the upstream.
	checkInterval = 500 * time.Millisecond
	// checkTimeout bounds one check of the upstream.
	checkTimeout = 2 * time.Second
	// unhealthyThreshold is the number of consecutive unhealthy answers after
	// which the agent answers probes as draining; a single one may be wrong.
	unhealthyThreshold = 3
)

// upstreamHealth tracks the health of the upstream. A single failed connection
// attempt makes it unhealthy, but only unhealthyThreshold consecutive unhealthy
// answers of the health path do, as these may be wrong.
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

// recordAnswer records the result of a request to the health path. A failed
// request counts as an unhealthy answer.
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

// healthy reports whether the agent may answer probes as serving.
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
