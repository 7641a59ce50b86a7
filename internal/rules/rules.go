// Package rules holds the routes of datagram flows: which service the flows to
// an address belong to.
package rules

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Share is the part of a route's new flows that a service gets.
type Share struct {
	Service ident.ServiceName `json:"service"`
	// Weight is greater than zero.
	Weight float64 `json:"weight"`
}

// Route sends the flows to one address to its services.
type Route struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
	// Repeatable is set if callers may send a request of this route again after
	// its flow broke.
	Repeatable bool `json:"repeatable,omitempty"`
	// ObjectiveMillis and TimeoutMillis are the latency objective and the timeout
	// of a request; zero if unknown.
	ObjectiveMillis int `json:"objectiveMillis,omitempty"`
	TimeoutMillis   int `json:"timeoutMillis,omitempty"`
	// Priority is the urgency of the requests; 0 is the highest.
	Priority uint8 `json:"priority,omitempty"`
	// Shares is not empty; its order is the order of the configuration.
	Shares []Share `json:"shares"`
}

// Content is a configuration as it is passed on between processes.
type Content struct {
	// Generation orders configurations; it is greater than zero.
	Generation ident.Generation `json:"generation"`
	// IdleMillis is after what time without a packet a flow may be discarded.
	IdleMillis int64   `json:"idleMillis"`
	Routes     []Route `json:"routes"`
}

// Table is a configuration in force. It is immutable; nil is a table without routes.
type Table struct {
	content Content
	routes  map[netip.AddrPort]*Route
}

// New checks a configuration and prepares it for look-ups. Of two routes with
// one address the first counts.
func New(c Content) (*Table, error) {
	if c.Generation == 0 {
		return nil, errors.New("configuration has no generation")
	}
	t := &Table{content: c, routes: make(map[netip.AddrPort]*Route, len(c.Routes))}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Addr.Addr().Is4() || len(r.Shares) == 0 {
			return nil, errors.Errorf("route %q has no IPv4 address or no service", r.Name)
		}
		if _, held := t.routes[r.Addr]; !held {
			t.routes[r.Addr] = r
		}
	}
	return t, nil
}

// Parse reads a configuration that Encode wrote.
func Parse(b []byte) (*Table, error) {
	var c Content
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, errors.Annotatef(err, "configuration")
	}
	return New(c)
}

// Encode returns the configuration as JSON.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(t.content) }

// Generation returns the generation of the configuration; 0 if there is none.
func (t *Table) Generation() ident.Generation {
	if t == nil {
		return 0
	}
	return t.content.Generation
}

// Idle returns after what time without a packet a flow may be discarded; 0 if
// the configuration does not say.
func (t *Table) Idle() time.Duration {
	if t == nil {
		return 0
	}
	return time.Duration(t.content.IdleMillis) * time.Millisecond
}

// Len returns the number of addresses with a route.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Service returns the service that a new flow to an address belongs to. Flows
// are shared by their hash, so copies of an opening packet go to one service.
func (t *Table) Service(addr netip.AddrPort, flow uint64) (ident.ServiceName, bool) {
	r := t.Route(addr)
	if r == nil {
		return "", false
	}
	return r.Service(flow), true
}

// Service returns the service that a new flow with the given hash belongs to.
func (r *Route) Service(flow uint64) ident.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := float64(flow>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Route returns the route of an address or nil.
func (t *Table) Route(addr netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.routes[addr]
}
