package lint

import (
	"fmt"
	"slices"
	"strings"
)

// noValue stands for an attribute that one version does not have.
const noValue = "none"

// Item is a part of a configuration, such as a service, with its attributes in a
// fixed order.
type Item struct {
	// Name is unique within a configuration.
	Name       string
	Attributes []Attribute
}

// Attribute is a named value of an item, in words for a human reader.
type Attribute struct {
	Name, Value string
	// Absent is the value that an item without the attribute has; empty means "none".
	Absent string
}

// Compare describes how newer differs from older. It returns one line for each item
// added ("+") or removed ("-") and for each changed attribute ("~").
func Compare(older, newer []Item) []string {
	var lines []string
	before, after := byName(older), byName(newer)
	for _, o := range older {
		if after[o.Name] == nil {
			lines = append(lines, "- "+o.String())
		}
	}
	for _, n := range newer {
		if o := before[n.Name]; o == nil {
			lines = append(lines, "+ "+n.String())
		} else {
			lines = append(lines, o.changes(&n)...)
		}
	}
	return lines
}

func byName(items []Item) map[string]*Item {
	m := make(map[string]*Item, len(items))
	for i := range items {
		m[items[i].Name] = &items[i]
	}
	return m
}

// String returns the name and all attributes.
func (i *Item) String() string {
	var vs []string
	for _, a := range i.Attributes {
		vs = append(vs, a.Name+" "+a.Value)
	}
	return i.Name + ": " + strings.Join(vs, ", ")
}

// changes returns a line for each attribute that differs between i and its newer
// version n.
func (i *Item) changes(n *Item) []string {
	var lines, seen []string
	for _, a := range append(slices.Clone(i.Attributes), n.Attributes...) {
		if slices.Contains(seen, a.Name) {
			continue
		}
		seen = append(seen, a.Name)
		if before, after := i.value(a), n.value(a); before != after {
			lines = append(lines, fmt.Sprintf("~ %s: %s %s -> %s", i.Name, a.Name, before, after))
		}
	}
	return lines
}

// value returns the item's value of an attribute that it or its other version has.
func (i *Item) value(a Attribute) string {
	for _, own := range i.Attributes {
		if own.Name == a.Name {
			return own.Value
		}
	}
	if a.Absent != "" {
		return a.Absent
	}
	return noValue
}
