package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/load"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// user is one of the two example users: its places, their delays and its services.
type user struct {
	region string
	places []string
	// placeDelay is the one-way delay between two places, callerDelay the one-way
	// delay to the callers.
	placeDelay, callerDelay time.Duration
	slots                   int
	services                []service
}

// service is a service with its number of upstreams and its load.
type service struct {
	name      string
	upstreams int
	mix       load.Mix
}

// users returns the example users with their real numbers of upstreams. The rates
// leave the upstreams and a small machine mostly idle. The number of flows is far
// below the 2,000 that an upstream may have, because one process handles all of them.
func users() []user {
	return []user{
		{
			region: "nordeste", places: []string{"recife", "fortaleza", "salvador"},
			placeDelay: 1500 * time.Microsecond, callerDelay: time.Millisecond, slots: 4,
			services: []service{
				{"listas", 7, load.Mix{Feeds: 60, Shorts: 70, ShortRate: 100, Tickets: 21, TicketRate: 20}},
				{"fichas", 3, load.Mix{Downloads: 6, SheetBytes: 500_000, SheetRate: 1e6, Shorts: 30, ShortRate: 30}},
			},
		},
		{
			region: "wallonia", places: []string{"namur-a", "namur-b", "liege-c"},
			placeDelay: time.Millisecond, callerDelay: 3 * time.Millisecond, slots: 5,
			services: []service{
				{"trek", 7, load.Mix{Shorts: 70, ShortRate: 100, Tickets: 21, TicketRate: 20}},
				{"map", 3, load.Mix{Tiles: 45, TileRate: 80}},
			},
		},
	}
}

// configName is the name of the configuration object.
const configName = "demo"

// firstPort is the UDP port of the first service; the others use the ports after it.
const firstPort = 8443

// newDeclaration returns a declaration with the services of all users at one IP.
func newDeclaration(us []user, ip netip.Addr) *decl.Declaration {
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
