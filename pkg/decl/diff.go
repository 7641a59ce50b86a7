package decl

import (
	"fmt"
	"strings"

	"github.com/bramleycourse/bramleycourse/internal/lint"
)

// Differences describes how b differs from a for a human reader. It returns one
// line for each place or service added ("+") or removed ("-") and for each changed
// attribute ("~"). Unset limits appear with their defaults. A nil declaration
// counts as empty.
func Differences(a, b *Declaration) []string {
	return lint.Compare(itemsOf(a), itemsOf(b))
}

func itemsOf(d *Declaration) []lint.Item {
	if d == nil {
		return nil
	}
	var items []lint.Item
	for _, p := range d.Places {
		i := lint.Item{Name: "place " + p.Name, Attributes: []lint.Attribute{{Name: "region", Value: p.Region}}}
		if d.Evacuates(PlaceName(p.Name)) {
			i.Attributes = append(i.Attributes, lint.Attribute{Name: "evacuated", Value: "yes", Absent: "no"})
		}
		items = append(items, i)
	}
	for _, s := range d.Services {
		l := s.Limits.WithDefaults()
		p := lint.Item{Name: "service " + s.Name, Attributes: []lint.Attribute{
			{Name: "address", Value: s.Address},
			{Name: "slots", Value: fmt.Sprint(l.Slots)},
			{Name: "queue", Value: fmt.Sprint(l.Queue)},
			{Name: "connections", Value: fmt.Sprint(l.Connections)},
			{Name: "requestBytes", Value: fmt.Sprint(l.RequestBytes)},
		}}
		if len(s.StreamPaths) > 0 {
			p.Attributes = append(p.Attributes, lint.Attribute{Name: "streamPaths", Value: strings.Join(s.StreamPaths, " ")})
		}
		for _, h := range s.Shares {
			p.Attributes = append(p.Attributes, lint.Attribute{Name: h.label(), Value: fmt.Sprint(h.Weight)})
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
