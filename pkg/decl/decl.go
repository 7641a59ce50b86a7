// Package decl builds, validates and prints declarations: the services behind the
// load balancer, the places that run them, and how traffic is shared.
package decl

import "slices"

// Declaration is the whole configuration of one deployment.
type Declaration struct {
	// Name is the name of the configuration object on the platform. It must not
	// be empty.
	Name string `json:"name"`
	// Places lists every place that shares or settings may refer to. Names are
	// unique.
	Places []Place `json:"places"`
	// Evacuated lists the places whose upstreams get no new flows. Each is in
	// Places, and none occurs twice.
	Evacuated []PlaceName `json:"evacuated,omitempty"`
	// Services lists the services. Their names, the 16-bit tags that packets carry
	// for the names, and their addresses are unique.
	Services []Service `json:"services"`
}

// PlaceName is the name of a place.
type PlaceName string

// Evacuates reports whether a place is evacuated.
func (d *Declaration) Evacuates(p PlaceName) bool { return slices.Contains(d.Evacuated, p) }

// Unserved returns the names of the services that an evacuation leaves without a
// place: each declared place is evacuated or has the weight 0 for the service. New
// flows of such a service are refused.
func (d *Declaration) Unserved() []string {
	if len(d.Evacuated) == 0 {
		return nil
	}
	var names []string
	for _, s := range d.Services {
		if !slices.ContainsFunc(d.Places, func(p Place) bool {
			return !d.Evacuates(PlaceName(p.Name)) && s.Weight(p.Name, "") > 0
		}) {
			names = append(names, s.Name)
		}
	}
	return names
}

// Place is one availability zone.
type Place struct {
	Name string `json:"name"`
	// Region groups places with low network latency between them. It must not be
	// empty.
	Region string `json:"region"`
}

// Service is one service behind one address.
type Service struct {
	Name string `json:"name"`
	// Address is the IPv4 address and UDP port that callers use, "ip:port".
	Address string `json:"address"`
	// StreamPaths lists path prefixes, each beginning with "/", whose requests
	// occupy a connection but no slot: feeds and long downloads.
	StreamPaths []string `json:"streamPaths,omitempty"`
	// Shares sets the weights of places and of groups of upstreams. The default
	// weight is 1.
	Shares []Share `json:"shares,omitempty"`
	// Limits are the limits of each agent of the service.
	Limits Limits `json:"limits"`
}

// Weight returns the declared weight of an upstream: that of its place times that
// of its group, each 1 if it is not declared.
func (s *Service) Weight(place, group string) float64 {
	w := 1.0
	for _, h := range s.Shares {
		if h.Place != "" && h.Place == place || h.Group != "" && h.Group == group {
			w *= h.Weight
		}
	}
	return w
}

// Share is the weight of the upstreams of a place or of a group. Exactly one
// of Place and Group is set.
type Share struct {
	Place string `json:"place,omitempty"`
	Group string `json:"group,omitempty"`
	// Weight is 0 to 1000; 0 excludes the upstreams from placement.
	Weight float64 `json:"weight"`
}

// Limits are the limits of one agent. Zero means the default.
type Limits struct {
	// Slots is the maximum number of concurrent requests, 1 to 1000, default 4.
	Slots int `json:"slots,omitempty"`
	// Queue is the maximum number of requests that wait for a slot, 1 to 10000,
	// default 64.
	Queue int `json:"queue,omitempty"`
	// Connections is the maximum number of open flows, 1 to 100000, default 2000.
	Connections int `json:"connections,omitempty"`
	// RequestBytes is the largest request body in bytes, 1 to 2^30, default 1 MiB.
	RequestBytes int64 `json:"requestBytes,omitempty"`
}

// Defaults of Limits.
const (
	DefaultSlots        = 4
	DefaultQueue        = 64
	DefaultConnections  = 2000
	DefaultRequestBytes = 1 << 20
)

// WithDefaults returns l with every zero replaced by its default.
func (l Limits) WithDefaults() Limits {
	if l.Slots == 0 {
		l.Slots = DefaultSlots
	}
	if l.Queue == 0 {
		l.Queue = DefaultQueue
	}
	if l.Connections == 0 {
		l.Connections = DefaultConnections
	}
	if l.RequestBytes == 0 {
		l.RequestBytes = DefaultRequestBytes
	}
	return l
}
