package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/load"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// user is one of the two example users of the design page.
type user struct {
	region string
	places []string
	// between is the one-way delay between two places, toCallers that to callers.
	between, toCallers time.Duration
	slots              int
	services           []service
}

// service is a service with its number of upstreams and the work on it.
type service struct {
	name      string
	upstreams int
	mix       load.Mix
}

// users returns the example users at their sizes. The rates leave the upstreams
// and a small machine mostly idle; the flows are far below the 2,000 that an
// upstream may hold, because all of them end in one process.
func users() []user {
	return []user{
		{
			region: "nordeste", places: []string{"recife", "fortaleza", "salvador"},
			between: 1500 * time.Microsecond, toCallers: time.Millisecond, slots: 4,
			services: []service{
				{"listas", 7, load.Mix{Feeds: 60, Shorts: 70, ShortRate: 100, Tickets: 21, TicketRate: 20}},
				{"fichas", 3, load.Mix{Downloads: 6, SheetBytes: 500_000, SheetRate: 1e6, Shorts: 30, ShortRate: 30}},
			},
		},
		{
			region: "wallonia", places: []string{"namur-a", "namur-b", "liege-c"},
			between: time.Millisecond, toCallers: 3 * time.Millisecond, slots: 5,
			services: []service{
				{"trek", 7, load.Mix{Shorts: 70, ShortRate: 100, Tickets: 21, TicketRate: 20}},
				{"map", 3, load.Mix{Tiles: 45, TileRate: 80}},
			},
		},
	}
}

// configName names the configuration object.
const configName = "demo"

// firstPort is the UDP port of the first service; the others follow it.
const firstPort = 8443

// declare returns the declaration of all users' services at one IP.
func declare(us []user, ip netip.Addr) *decl.Declaration {
	d := decl.New(configName)
	port := firstPort
	for _, u := range us {
		for _, p := range u.places {
			d.Place(p, u.region)
		}
		for _, s := range u.services {
			d.Services = append(d.Services, decl.Service{
				Name:        s.name,
				Address:     fmt.Sprintf("%s:%d", ip, port),
				StreamPaths: []string{"/feeds/", "/sheet"},
				Limits:      decl.Limits{Slots: u.slots},
			})
			port++
		}
	}
	return d
}
