package caller

import (
	"context"
	"slices"
)

// service holds the flows to one host and port. The client's mutex guards it.
type service struct {
	host string
	// flows are the flows that accept new requests, including those being opened.
	flows []*flow
}

// acquire returns an open flow with a reference for one request, which must be
// released. An error means that no connection could be opened.
func (c *Client) acquire(ctx context.Context, host string) (*flow, error) {
	f, err := c.pickFlow(host)
	if err != nil {
		return nil, err
	}
	select {
	case <-f.ready:
	case <-ctx.Done():
		f.release()
		return nil, ctx.Err()
	}
	if f.err != nil {
		f.release()
		return nil, f.err
	}
	return f, nil
}

// pickFlow takes a reference to the flow with the fewest, or opens another flow
// when all have reached requestsPerFlow.
func (c *Client) pickFlow(host string) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[host]
	if s == nil {
		s = &service{host: host}
		c.services[host] = s
	}
	var best *flow
	for _, f := range s.flows {
		if best == nil || f.refs < best.refs {
			best = f
		}
	}
	full := best == nil || best.refs >= c.settings.requestsPerFlow
	if full && len(s.flows) < max(c.settings.flowsPerService, 1) {
		f, err := c.openFlow(host, false)
		if err != nil {
			return nil, err
		}
		s.flows = append(s.flows, f)
		best = f
	}
	best.refs++
	return best, nil
}

// retire stops new requests on a flow. The flow is closed when its last
// reference is released.
func (f *flow) retire() {
	c := f.client
	c.mu.Lock()
	if s := c.services[f.host]; s != nil {
		if i := slices.Index(s.flows, f); i >= 0 {
			s.flows = slices.Delete(s.flows, i, i+1)
		}
	}
	f.retired = true
	unused := f.refs == 0
	c.mu.Unlock()
	if unused {
		f.closeCleanly()
	}
}

// release drops one reference to the flow.
func (f *flow) release() {
	c := f.client
	c.mu.Lock()
	f.refs--
	f.lastUse = now()
	unused := f.retired && f.refs == 0
	c.mu.Unlock()
	if unused {
		f.closeCleanly()
	}
}

// usage returns how the flow is used.
func (f *flow) usage() usage {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	switch {
	case f.isFeed:
		return usageFeed
	case f.refs > 0:
		return usageRequest
	default:
		return usageIdle
	}
}

// retireIfIdle retires the flow after the idle timeout, and closes it if it was
// retired while it was being opened.
func (f *flow) retireIfIdle() {
	f.client.mu.Lock()
	unused := f.refs == 0 && (f.retired || now().Sub(f.lastUse) >= f.client.settings.idleTimeout)
	f.client.mu.Unlock()
	if unused {
		f.retire()
	}
}
