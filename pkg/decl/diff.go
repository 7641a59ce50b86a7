package decl

import (
	"fmt"
	"slices"
	"strings"
)

// Differences describes how b differs from a, one readable line for each place
// or service added ("+"), removed ("-") or attribute changed ("~"). Unset
// limits appear with their defaults. Either declaration may be nil, which
// stands for an empty one.
func Differences(a, b *Declaration) []string {
	olds, news := describe(a), describe(b)
	var lines []string
	for _, o := range olds {
		if find(news, o.name) == nil {
			lines = append(lines, "- "+o.String())
		}
	}
	for _, n := range news {
		if o := find(olds, n.name); o == nil {
			lines = append(lines, "+ "+n.String())
		} else {
			lines = append(lines, o.changes(n)...)
		}
	}
	return lines
}

// part is a place or a service with its attributes in a fixed order.
type part struct {
	name  string
	attrs []attr
}

type attr struct{ name, value string }

const unset = "none"

func (p *part) get(name string) string {
	for _, a := range p.attrs {
		if a.name == name {
			return a.value
		}
	}
	return unset
}

// String returns the name and all attributes.
func (p *part) String() string {
	var vs []string
	for _, a := range p.attrs {
		vs = append(vs, a.name+" "+a.value)
	}
	return p.name + ": " + strings.Join(vs, ", ")
}

// changes lists the attributes that differ between p and its later form n.
func (p *part) changes(n *part) []string {
	var names []string
	for _, a := range append(slices.Clone(p.attrs), n.attrs...) {
		if !slices.Contains(names, a.name) {
			names = append(names, a.name)
		}
	}
	var lines []string
	for _, name := range names {
		if was, is := p.get(name), n.get(name); was != is {
			lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", p.name, name, was, is))
		}
	}
	return lines
}

func find(ps []*part, name string) *part {
	for _, p := range ps {
		if p.name == name {
			return p
		}
	}
	return nil
}

func describe(d *Declaration) []*part {
	if d == nil {
		return nil
	}
	var ps []*part
	for _, p := range d.Places {
		ps = append(ps, &part{"place " + p.Name, []attr{{"region", p.Region}}})
	}
	for _, s := range d.Services {
		l := s.Limits.WithDefaults()
		p := &part{"service " + s.Name, []attr{
			{"address", s.Address},
			{"slots", fmt.Sprint(l.Slots)},
			{"queue", fmt.Sprint(l.Queue)},
			{"connections", fmt.Sprint(l.Connections)},
			{"requestBytes", fmt.Sprint(l.RequestBytes)},
		}}
		if len(s.StreamPaths) > 0 {
			p.attrs = append(p.attrs, attr{"streamPaths", strings.Join(s.StreamPaths, " ")})
		}
		for _, h := range s.Shares {
			p.attrs = append(p.attrs, attr{h.name(), fmt.Sprint(h.Weight)})
		}
		ps = append(ps, p)
	}
	return ps
}

func (h *Share) name() string {
	if h.Place != "" {
		return "share of place " + h.Place
	}
	return "share of group " + h.Group
}
