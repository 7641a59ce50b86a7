package decl

import "io"

// New returns an empty declaration with the given name. Place and Service add to
// it, and Print prints it.
func New(name string) *Declaration { return &Declaration{Name: name} }

// Place declares a place and returns d.
func (d *Declaration) Place(name, region string) *Declaration {
	d.Places = append(d.Places, Place{Name: name, Region: region})
	return d
}

// Evacuate adds places whose upstreams get no new flows and returns d.
func (d *Declaration) Evacuate(places ...PlaceName) *Declaration {
	d.Evacuated = append(d.Evacuated, places...)
	return d
}

// Service declares a service at the IPv4 address and UDP port "ip:port" and
// returns d.
func (d *Declaration) Service(name, address string, opts ...ServiceOption) *Declaration {
	s := Service{Name: name, Address: address}
	for _, o := range opts {
		o(&s)
	}
	d.Services = append(d.Services, s)
	return d
}

// Print validates the declaration and writes its canonical JSON form. It returns
// a *FieldError for an invalid declaration.
func (d *Declaration) Print(w io.Writer) error {
	b, err := d.JSON()
	if err != nil {
		return err
	}
	_, err = w.Write(append(b, '\n'))
	return err
}

// ServiceOption sets optional fields of a service.
type ServiceOption func(*Service)

// Streams adds path prefixes whose requests occupy a connection but no slot.
func Streams(prefixes ...string) ServiceOption {
	return func(s *Service) { s.StreamPaths = append(s.StreamPaths, prefixes...) }
}

// PlaceShare sets the weight of the upstreams of a place, 0 to 1000.
func PlaceShare(place string, weight float64) ServiceOption {
	return func(s *Service) { s.Shares = append(s.Shares, Share{Place: place, Weight: weight}) }
}

// GroupShare sets the weight of the upstreams of a group, 0 to 1000.
func GroupShare(group string, weight float64) ServiceOption {
	return func(s *Service) { s.Shares = append(s.Shares, Share{Group: group, Weight: weight}) }
}

// WithLimits sets the limits of each agent of the service.
func WithLimits(l Limits) ServiceOption {
	return func(s *Service) { s.Limits = l }
}
