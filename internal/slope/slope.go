// Package slope measures what control costs: processor time, memory, octets
// and platform calls of balancers against the numbers of balancers and
// endpoints, and the time until changes are known everywhere. The balancers
// are real processes or the session layer alone; agents are small stand-ins.
package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const (
	configName = "main"
	// firstPort is below the range that the system hands out by itself.
	firstPort  = 20000
	hopPort    = 7000
	peerPort   = 7001
	adminPort  = 7002
	places     = 6
	perBlock   = 250
	agentBlock = 100
	// maxServices is the number of services of the target size.
	maxServices = 1100
)

// addresses hands out loopback addresses of one run, so that runs at the same
// time do not meet.
type addresses struct{ net byte }

func newAddresses() addresses { return addresses{byte(64 + os.Getpid()%128)} }

func (a addresses) at(block, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, a.net, byte(block + i/perBlock), byte(1 + i%perBlock)})
}

func (a addresses) balancer(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.at(0, i), port)
}

func (a addresses) agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(a.at(agentBlock, i), hopPort)
}

func place(i int) ident.PlaceName { return ident.PlaceName(fmt.Sprintf("place-%d", i%places)) }

// serviceNames returns names of services with different tags and the number of
// names passed over: among 1,100 names, several pairs share a tag of 16 bits,
// and such a declaration is refused.
func serviceNames(services int) (names []ident.ServiceName, passed int) {
	used := map[ident.ServiceTag]bool{}
	for i := 0; len(names) < services; i++ {
		n := ident.ServiceName(fmt.Sprintf("service-%04d", i))
		if t := ident.TagOf(n); used[t] {
			passed++
		} else {
			used[t] = true
			names = append(names, n)
		}
	}
	return names, passed
}

// allNames holds names for the largest number of services measured.
var allNames, _ = serviceNames(maxServices)

func service(i, services int) ident.ServiceName { return allNames[i%max(services, 1)] }

// entry returns the entry of endpoint i.
func (a addresses) entry(i, services int) view.Entry {
	return view.Entry{
		Key:   view.Key{Hop: a.agent(i), Instance: ident.Instance(i + 1)},
		State: view.Serving, Seq: 1, Service: service(i, services), Place: place(i),
	}
}

// Declaration returns a declaration with the given number of services in six
// places and two regions.
func Declaration(services int) *decl.Declaration {
	d := &decl.Declaration{Name: configName}
	for i := range places {
		d.Places = append(d.Places, decl.Place{Name: string(place(i)), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range services {
		d.Services = append(d.Services, decl.Service{
			Name:        string(service(i, services)),
			Address:     fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			StreamPaths: []string{"/feeds/"},
			Shares:      []decl.Share{{Place: string(place(0)), Weight: 2}, {Group: "new", Weight: 0.5}},
			Limits:      decl.Limits{Slots: 4, Queue: 64, Connections: 2000, RequestBytes: 1 << 20},
		})
	}
	return d
}

// object is the value of the configuration object on the platform.
type object struct {
	Generation  ident.Generation  `json:"generation"`
	Writer      string            `json:"writer"`
	Declaration *decl.Declaration `json:"declaration"`
}

func configValue(g ident.Generation, services int, writer string) (json.RawMessage, error) {
	return json.Marshal(object{g, writer, Declaration(services)})
}

// Result is one measured figure.
type Result struct {
	// Run names the sizes it was measured at.
	Run string `json:"run"`
	// Name says what was measured, with the unit.
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Report receives results as they are measured.
type Report func(Result)

func (r Report) add(run, name string, v float64) { r(Result{run, name, v}) }

// octets reports the mean rate of each kind of message in octets per second.
func (r Report) octets(run, direction string, before, after map[string]uint64, processes int, took time.Duration) {
	var kinds []string
	for k := range after {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	for _, k := range kinds {
		if d := after[k] - before[k]; d > 0 {
			r.add(run, direction+" "+k+" B/s per balancer", float64(d)/float64(processes)/took.Seconds())
		}
	}
}

// await polls until the condition holds.
func await(ctx context.Context, poll time.Duration, what string, ok func() bool) error {
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > patience {
			return &TimeoutError{what, patience}
		}
		if err := pause(ctx, poll); err != nil {
			return err
		}
	}
	return nil
}

// pause waits unless the context ends before.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TimeoutError reports that a condition did not hold within a limit.
type TimeoutError struct {
	What  string
	Limit time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string { return fmt.Sprintf("not within %v: %s", e.Limit, e.What) }
