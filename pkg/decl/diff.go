package decl

import (
	"fmt"
	"slices"
	"strings"
)

// Differences describes how b differs from a for a human reader. It returns one
// line for each place or service added ("+") or removed ("-") and for each changed
// attribute ("~"). Unset limits appear with their defaults. A nil declaration
// counts as empty.
func Differences(a, b *Declaration) []string {
	oldItems, newItems := itemsOf(a), itemsOf(b)
	var lines []string
	for _, o := range oldItems {
		if findItem(newItems, o.name) == nil {
			lines = append(lines, "- "+o.String())
		}
	}
	for _, n := range newItems {
		if o := findItem(oldItems, n.name); o == nil {
			lines = append(lines, "+ "+n.String())
		} else {
			lines = append(lines, o.changes(n)...)
		}
	}
	return lines
}

// item is a place or a service with its attributes in a fixed order.
type item struct {
	name       string
	attributes []attribute
}

type attribute struct{ name, value string }

const (
	noValue = "none"
	// evacuatedName is the attribute of an evacuated place. Other places do not
	// have it.
	evacuatedName = "evacuated"
)

func (i *item) attrValue(name string) string {
	for _, a := range i.attributes {
		if a.name == name {
			return a.value
		}
	}
	if name == evacuatedName {
		return "no"
	}
	return noValue
}

// String returns the name and all attributes.
func (i *item) String() string {
	var vs []string
	for _, a := range i.attributes {
		vs = append(vs, a.name+" "+a.value)
	}
	return i.name + ": " + strings.Join(vs, ", ")
}

// changes returns a line for each attribute that differs between i and its newer
// version n.
func (i *item) changes(n *item) []string {
	var names []string
	for _, a := range append(slices.Clone(i.attributes), n.attributes...) {
		if !slices.Contains(names, a.name) {
			names = append(names, a.name)
		}
	}
	var lines []string
	for _, name := range names {
		if before, after := i.attrValue(name), n.attrValue(name); before != after {
			lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", i.name, name, before, after))
		}
	}
	return lines
}

func findItem(items []*item, name string) *item {
	for _, i := range items {
		if i.name == name {
			return i
		}
	}
	return nil
}

func itemsOf(d *Declaration) []*item {
	if d == nil {
		return nil
	}
	var items []*item
	for _, p := range d.Places {
		i := &item{"place " + p.Name, []attribute{{"region", p.Region}}}
		if d.Evacuates(PlaceName(p.Name)) {
			i.attributes = append(i.attributes, attribute{evacuatedName, "yes"})
		}
		items = append(items, i)
	}
	for _, s := range d.Services {
		l := s.Limits.WithDefaults()
		p := &item{"service " + s.Name, []attribute{
			{"address", s.Address},
			{"slots", fmt.Sprint(l.Slots)},
			{"queue", fmt.Sprint(l.Queue)},
			{"connections", fmt.Sprint(l.Connections)},
			{"requestBytes", fmt.Sprint(l.RequestBytes)},
		}}
		if len(s.StreamPaths) > 0 {
			p.attributes = append(p.attributes, attribute{"streamPaths", strings.Join(s.StreamPaths, " ")})
		}
		for _, h := range s.Shares {
			p.attributes = append(p.attributes, attribute{h.label(), fmt.Sprint(h.Weight)})
		}
		items = append(items, p)
	}
	return items
}

func (h *Share) label() string {
	if h.Place != "" {
		return "share of place " + h.Place
	}
	return "share of group " + h.Group
}
