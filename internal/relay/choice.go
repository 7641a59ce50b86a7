package relay

import (
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/route"
)

// choice sorts the serving endpoints of one service by whether new flows may be
// sent to them.
type choice struct {
	usable, unusable []route.Endpoint
	// evacuated is the number of endpoints in evacuated places, which are in
	// neither list.
	evacuated int
}

func (c *choice) add(e route.Endpoint, evacuated, usable bool) {
	switch {
	case evacuated:
		c.evacuated++
	case usable:
		c.usable = append(c.usable, e)
	default:
		c.unusable = append(c.unusable, e)
	}
}

// endpoints returns the endpoints that get new flows. If none is usable, all that
// are not evacuated are used: a wrong verdict on all endpoints must not stop the
// service, and flows to dead endpoints are lost either way.
func (c *choice) endpoints() []route.Endpoint {
	if len(c.usable) == 0 {
		return c.unusable
	}
	return c.usable
}

// tableOf builds the routing table. A service that has endpoints only in evacuated
// places refuses new flows.
func tableOf(choices map[ident.ServiceTag]*choice) *route.Table {
	services := map[ident.ServiceTag][]route.Endpoint{}
	var refused []ident.ServiceTag
	for tag, c := range choices {
		services[tag] = c.endpoints()
		if c.evacuated > 0 {
			refused = append(refused, tag)
		}
	}
	return route.NewTable(services).Refuse(refused...)
}
