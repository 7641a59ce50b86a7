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
	if ps := d.Problems(); len(ps) > 0 {
		return ps[0]
	}
	return nil
}

// Problems returns an error for each invalid field.
func (d *Declaration) Problems() []*FieldError {
	var ps problems
	ps.checkName("name", d.Name)
	places := map[string]bool{}
	for i, p := range d.Places {
		path := fmt.Sprintf("places[%d]", i)
		ps.checkName(path+".name", p.Name)
		ps.checkName(path+".region", p.Region)
		if places[p.Name] {
			ps.add(path+".name", "place %q occurs twice", p.Name)
		}
		places[p.Name] = true
	}
	ps.checkEvacuated(d.Evacuated, places)
	ps.checkServices(d.Services, places)
	return ps
}

// problems collects the invalid fields of a declaration.
type problems []*FieldError

func (ps *problems) add(path, format string, args ...any) {
	*ps = append(*ps, &FieldError{path, fmt.Sprintf(format, args...)})
}

func (ps *problems) checkEvacuated(evacuated []PlaceName, places map[string]bool) {
	seen := map[PlaceName]bool{}
	for i, p := range evacuated {
		path := fmt.Sprintf("evacuated[%d]", i)
		switch {
		case p == "":
			ps.add(path, "must not be empty")
		case !places[string(p)]:
			ps.add(path, "place %q is not declared", p)
		case seen[p]:
			ps.add(path, "place %q occurs twice", p)
		}
		seen[p] = true
	}
}

func (ps *problems) checkServices(services []Service, places map[string]bool) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	tags := map[ident.ServiceTag]string{}
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		tag := ident.TagOf(ident.ServiceName(s.Name))
		ps.checkName(path+".name", s.Name)
		switch {
		case names[s.Name]:
			ps.add(path+".name", "service %q occurs twice", s.Name)
		case tags[tag] != "":
			ps.add(path+".name", "has the same packet tag as service %q; choose another name", tags[tag])
		}
		if addresses[s.Address] {
			ps.add(path+".address", "address %q is used by two services", s.Address)
		} else if a, err := netip.ParseAddrPort(s.Address); err != nil || !a.Addr().Is4() || a.Port() == 0 {
			ps.add(path+".address", "%q is not an IPv4 address and port", s.Address)
		}
		names[s.Name], addresses[s.Address], tags[tag] = true, true, s.Name
		ps.checkService(path, &s, places)
	}
}

// validName restricts names to what is safe in URL paths, logs and metrics.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func (ps *problems) checkName(path, name string) {
	switch {
	case name == "":
		ps.add(path, "must not be empty")
	case !validName.MatchString(name):
		ps.add(path, "%q is not 1 to 63 letters, digits, dots, hyphens or underscores that begin with a letter or digit", name)
	}
}

const maxWeight = 1000

func (ps *problems) checkService(path string, s *Service, places map[string]bool) {
	for i, p := range s.StreamPaths {
		if len(p) == 0 || p[0] != '/' {
			ps.add(fmt.Sprintf("%s.streamPaths[%d]", path, i), "%q does not begin with a slash", p)
		}
	}
	seen := map[string]bool{}
	for i, h := range s.Shares {
		sharePath := fmt.Sprintf("%s.shares[%d]", path, i)
		switch {
		case (h.Place == "") == (h.Group == ""):
			ps.add(sharePath, "must have exactly one of place and group")
		case h.Place != "" && !places[h.Place]:
			ps.add(sharePath+".place", "place %q is not declared", h.Place)
		case !(h.Weight >= 0 && h.Weight <= maxWeight):
			ps.add(sharePath+".weight", "%v is not in 0 to %d", h.Weight, maxWeight)
		case seen[h.label()]:
			ps.add(sharePath, "%s occurs twice", h.label())
		}
		seen[h.label()] = true
	}
	ps.checkLimits(path+".limits", &s.Limits)
}

func (ps *problems) checkLimits(path string, l *Limits) {
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
			ps.add(path+"."+f.name, "%d is not in 1 to %d", f.value, f.max)
		}
	}
}
