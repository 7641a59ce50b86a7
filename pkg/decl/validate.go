package decl

import (
	"fmt"
	"net/netip"
	"regexp"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// FieldError reports the first invalid field of a declaration.
type FieldError struct {
	// Path is the path of the field, as in "services[1].address".
	Path string
	// Reason says what is wrong with the value.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Validate returns a *FieldError for the first invalid field, or nil.
func (d *Declaration) Validate() error {
	if err := checkName("name", d.Name); err != nil {
		return err
	}
	places := map[string]bool{}
	for i, p := range d.Places {
		path := fmt.Sprintf("places[%d]", i)
		if err := checkName(path+".name", p.Name); err != nil {
			return err
		}
		if err := checkName(path+".region", p.Region); err != nil {
			return err
		}
		if places[p.Name] {
			return &FieldError{path + ".name", fmt.Sprintf("place %q occurs twice", p.Name)}
		}
		places[p.Name] = true
	}
	if err := d.validateEvacuated(places); err != nil {
		return err
	}
	return d.validateServices(places)
}

func (d *Declaration) validateEvacuated(places map[string]bool) error {
	seen := map[PlaceName]bool{}
	for i, p := range d.Evacuated {
		path := fmt.Sprintf("evacuated[%d]", i)
		if err := checkName(path, string(p)); err != nil {
			return err
		}
		switch {
		case !places[string(p)]:
			return &FieldError{path, fmt.Sprintf("place %q is not declared", p)}
		case seen[p]:
			return &FieldError{path, fmt.Sprintf("place %q occurs twice", p)}
		}
		seen[p] = true
	}
	return nil
}

func (d *Declaration) validateServices(places map[string]bool) error {
	names := map[string]bool{}
	addresses := map[string]bool{}
	tags := map[ident.ServiceTag]string{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		tag := ident.TagOf(ident.ServiceName(s.Name))
		if err := checkName(path+".name", s.Name); err != nil {
			return err
		}
		switch {
		case names[s.Name]:
			return &FieldError{path + ".name", fmt.Sprintf("service %q occurs twice", s.Name)}
		case tags[tag] != "":
			return &FieldError{path + ".name", fmt.Sprintf("has the same packet tag as service %q; choose another name", tags[tag])}
		case addresses[s.Address]:
			return &FieldError{path + ".address", fmt.Sprintf("address %q is used by two services", s.Address)}
		}
		if a, err := netip.ParseAddrPort(s.Address); err != nil || !a.Addr().Is4() || a.Port() == 0 {
			return &FieldError{path + ".address", fmt.Sprintf("%q is not an IPv4 address and port", s.Address)}
		}
		names[s.Name], addresses[s.Address], tags[tag] = true, true, s.Name
		if err := s.validate(path, places); err != nil {
			return err
		}
	}
	return nil
}

// validName restricts names to what is safe in URL paths, logs and metrics.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func checkName(path, name string) error {
	switch {
	case name == "":
		return &FieldError{path, "must not be empty"}
	case !validName.MatchString(name):
		return &FieldError{path, fmt.Sprintf("%q is not 1 to 63 letters, digits, dots, hyphens or underscores that begin with a letter or digit", name)}
	}
	return nil
}

const maxWeight = 1000

func (s *Service) validate(path string, places map[string]bool) error {
	for i, p := range s.StreamPaths {
		if len(p) == 0 || p[0] != '/' {
			return &FieldError{fmt.Sprintf("%s.streamPaths[%d]", path, i), fmt.Sprintf("%q does not begin with a slash", p)}
		}
	}
	seen := map[string]bool{}
	for i, h := range s.Shares {
		sharePath := fmt.Sprintf("%s.shares[%d]", path, i)
		switch {
		case (h.Place == "") == (h.Group == ""):
			return &FieldError{sharePath, "must have exactly one of place and group"}
		case h.Place != "" && !places[h.Place]:
			return &FieldError{sharePath + ".place", fmt.Sprintf("place %q is not declared", h.Place)}
		case !(h.Weight >= 0 && h.Weight <= maxWeight):
			return &FieldError{sharePath + ".weight", fmt.Sprintf("%v is not in 0 to %d", h.Weight, maxWeight)}
		case seen[h.label()]:
			return &FieldError{sharePath, h.label() + " occurs twice"}
		}
		seen[h.label()] = true
	}
	return s.Limits.validate(path + ".limits")
}

func (l *Limits) validate(path string) error {
	for _, f := range []struct {
		name       string
		value, max int64
	}{
		{"slots", int64(l.Slots), 1000},
		{"queue", int64(l.Queue), 10000},
		{"connections", int64(l.Connections), 100000},
		{"requestBytes", l.RequestBytes, 1 << 30},
	} {
		if f.value < 0 || f.value > f.max {
			return &FieldError{path + "." + f.name, fmt.Sprintf("%d is not in 1 to %d", f.value, f.max)}
		}
	}
	return nil
}
