// Package rules maps the destination addresses of datagram flows to services.
package rules

import (
	"encoding/json"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// Share assigns a part of a route's new flows to a service.
type Share struct {
	Service ident.ServiceName `json:"service"`
	// Weight is relative to the weights of the other shares of the route; it is
	// greater than zero.
	Weight float64 `json:"weight"`
}

// Route assigns the flows to one address to one or more services.
type Route struct {
	Name string         `json:"name"`
	Addr netip.AddrPort `json:"addr"`
	// Repeatable is set if callers may repeat a request of this route after its flow
	// failed.
	Repeatable bool `json:"repeatable,omitempty"`
	// ObjectiveMillis and TimeoutMillis are the latency objective and the timeout of
	// a request; zero if unknown.
	ObjectiveMillis int `json:"objectiveMillis,omitempty"`
	TimeoutMillis   int `json:"timeoutMillis,omitempty"`
	// Priority is the urgency of the requests; 0 is the highest.
	Priority uint8 `json:"priority,omitempty"`
	// Shares is not empty. It keeps the order of the configuration.
	Shares []Share `json:"shares"`
}

// Service says how many requests the upstreams of a service bear while they are cold.
type Service struct {
	Name ident.ServiceName `json:"name"`
	// ColdRate is the number of requests per second that a cold upstream bears, summed
	// over all balancers. It is greater than zero.
	ColdRate float64 `json:"coldRate"`
	// WarmupMillis is the time for which an upstream is cold after its start.
	WarmupMillis int64 `json:"warmupMillis,omitempty"`
}

const (
	// maxColdRate is above what any upstream can do, so that a higher rate is an error.
	maxColdRate = 1e6
	// maxWarmupMillis is one day.
	maxWarmupMillis = 24 * 60 * 60 * 1000
)

func (s *Service) check() error {
	switch {
	case s.Name == "":
		return errors.New("service without a name")
	case !(s.ColdRate > 0 && s.ColdRate <= maxColdRate):
		return errors.Errorf("service %q: cold rate of %g per second is out of range", s.Name, s.ColdRate)
	case s.WarmupMillis < 0 || s.WarmupMillis > maxWarmupMillis:
		return errors.Errorf("service %q: warm-up of %d ms is out of range", s.Name, s.WarmupMillis)
	}
	return nil
}

// Config is a configuration as processes pass it on to each other.
type Config struct {
	// Generation is the version of the configuration; it is greater than zero.
	Generation ident.Generation `json:"generation"`
	// IdleMillis is the time without a packet after which a flow may be discarded.
	IdleMillis int64   `json:"idleMillis"`
	Routes     []Route `json:"routes"`
	// Services holds the services whose cold upstreams bear a limited rate.
	Services []Service `json:"services,omitempty"`
	// Skipped are the errors of entries that could not be decoded. They do not make the
	// configuration invalid.
	Skipped []error `json:"-"`
}

// Table is a checked configuration, indexed by address. It is immutable. A nil
// Table has no routes.
type Table struct {
	config Config
	routes map[netip.AddrPort]*Route
}

// New checks a configuration and indexes its routes. If several routes have the
// same address, the first one is used. Services with values out of range are skipped:
// they are not worth losing the routes.
func New(c Config) (*Table, error) {
	if c.Generation == 0 {
		return nil, errors.New("configuration has no generation")
	}
	t := &Table{config: c, routes: make(map[netip.AddrPort]*Route, len(c.Routes))}
	t.config.Services = nil
	for _, s := range c.Services {
		if err := s.check(); err != nil {
			t.config.Skipped = append(t.config.Skipped, err)
		} else {
			t.config.Services = append(t.config.Services, s)
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Addr.Addr().Is4() || len(r.Shares) == 0 {
			return nil, errors.Errorf("route %q has no IPv4 address or no service", r.Name)
		}
		if _, exists := t.routes[r.Addr]; !exists {
			t.routes[r.Addr] = r
		}
	}
	return t, nil
}

// Parse decodes a configuration that was encoded by Encode.
func Parse(b []byte) (*Table, error) {
	var c Config
	if err := json.Unmarshal(b, &c); err != nil {
		return nil, errors.Annotatef(err, "configuration")
	}
	return New(c)
}

// Encode returns the configuration as JSON.
func (t *Table) Encode() ([]byte, error) { return json.Marshal(t.config) }

// Generation returns the generation of the configuration; 0 if there is none.
func (t *Table) Generation() ident.Generation {
	if t == nil {
		return 0
	}
	return t.config.Generation
}

// IdleTimeout returns the time without a packet after which a flow may be discarded;
// 0 if the configuration does not set it.
func (t *Table) IdleTimeout() time.Duration {
	if t == nil {
		return 0
	}
	return time.Duration(t.config.IdleMillis) * time.Millisecond
}

// Len returns the number of addresses with a route.
func (t *Table) Len() int {
	if t == nil {
		return 0
	}
	return len(t.routes)
}

// Service returns the service of a new flow to an address. The choice depends only
// on the hash of the flow, so retransmitted opening packets go to the same service.
func (t *Table) Service(addr netip.AddrPort, flow uint64) (ident.ServiceName, bool) {
	r := t.Route(addr)
	if r == nil {
		return "", false
	}
	return r.Service(flow), true
}

// Service returns the service of a new flow with the given hash.
func (r *Route) Service(flow uint64) ident.ServiceName {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point := float64(flow>>11) / (1 << 53) * total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Limited returns the services whose cold upstreams bear a limited rate.
func (t *Table) Limited() []Service { return t.config.Services }

// Skipped returns the errors of the entries that were skipped.
func (t *Table) Skipped() []error { return t.config.Skipped }

// Route returns the route of an address; nil if there is none.
func (t *Table) Route(addr netip.AddrPort) *Route {
	if t == nil {
		return nil
	}
	return t.routes[addr]
}
