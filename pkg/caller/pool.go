package caller

import (
	"context"
	"slices"
)

// service holds the flows to one host and port. The client's mutex guards it.
type service struct {
	host string
	// flows are those that take new requests, including those being opened.
	flows []*flow
}

// acquire returns a flow with a place taken for one request. The caller
// releases the place. An error means that there is no connection.
func (c *Client) acquire(ctx context.Context, host string) (*flow, error) {
	f, err := c.choose(host)
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

// choose takes the least used flow, or opens one when all are in use.
func (c *Client) choose(host string) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.services[host]
	if s == nil {
		s = &service{host: host}
		c.services[host] = s
	}
	var best *flow
	for _, f := range s.flows {
		if best == nil || f.inUse < best.inUse {
			best = f
		}
	}
	full := best == nil || best.inUse >= c.settings.requestsPerFlow
	if full && len(s.flows) < max(c.settings.flowsPerService, 1) {
		f, err := c.open(host, false)
		if err != nil {
			return nil, err
		}
		s.flows = append(s.flows, f)
		best = f
	}
	best.inUse++
	return best, nil
}

// retire takes a flow out of service for new requests. It is closed when the
// requests on it have ended.
func (f *flow) retire() {
	c := f.client
	c.mu.Lock()
	if s := c.services[f.host]; s != nil {
		if i := slices.Index(s.flows, f); i >= 0 {
			s.flows = slices.Delete(s.flows, i, i+1)
		}
	}
	f.retired = true
	unused := f.inUse == 0
	c.mu.Unlock()
	if unused {
		f.shut()
	}
}

// release gives back the place of one request.
func (f *flow) release() {
	c := f.client
	c.mu.Lock()
	f.inUse--
	f.lastUse = now()
	unused := f.retired && f.inUse == 0
	c.mu.Unlock()
	if unused {
		f.shut()
	}
}

// use says how a flow is used.
func (f *flow) use() use {
	f.client.mu.Lock()
	defer f.client.mu.Unlock()
	switch {
	case f.feeding:
		return useFeed
	case f.inUse > 0:
		return useRequest
	default:
		return useNone
	}
}

// retireUnused retires the flow when it has been idle for long enough, and
// closes it when it was retired while it was being opened.
func (f *flow) retireUnused() {
	f.client.mu.Lock()
	unused := f.inUse == 0 && (f.retired || now().Sub(f.lastUse) >= f.client.settings.idleTimeout)
	f.client.mu.Unlock()
	if unused {
		f.retire()
	}
}
