// Package slope measures how the cost of the control plane scales: CPU time,
// memory, traffic and platform calls of balancers by the numbers of balancers and
// endpoints, and the time until changes have reached all processes. It runs either
// balancer processes or only their session layer; agents are simulated.
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
	// firstPort is the port of the first service address. The ports are below the
	// ephemeral port range.
	firstPort       = 20000
	hopPort         = 7000
	peerPort        = 7001
	adminPort       = 7002
	placeCount      = 6
	addrsPerBlock   = 250
	firstAgentBlock = 100
	// maxServices is the number of services at the design size.
	maxServices = 1100
)

// addresses assigns loopback addresses in 127.net.0.0/16, where net depends on the
// process id, so that concurrent runs rarely collide: only if their process ids are
// equal modulo 128.
type addresses struct{ net byte }

func newAddresses() addresses { return addresses{byte(64 + os.Getpid()%128)} }

func (a addresses) at(block, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, a.net, byte(block + i/addrsPerBlock), byte(1 + i%addrsPerBlock)})
}

func (a addresses) balancer(i int, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(a.at(0, i), port)
}

func (a addresses) agent(i int) netip.AddrPort {
	return netip.AddrPortFrom(a.at(firstAgentBlock, i), hopPort)
}

func placeName(i int) ident.PlaceName { return ident.PlaceName(fmt.Sprintf("place-%d", i%placeCount)) }

// serviceNames returns service names with distinct tags and the number of names
// skipped: among 1,100 names several pairs share a 16-bit tag, and a declaration
// with such a pair is refused.
func serviceNames(services int) (names []ident.ServiceName, skipped int) {
	used := map[ident.ServiceTag]bool{}
	for i := 0; len(names) < services; i++ {
		n := ident.ServiceName(fmt.Sprintf("service-%04d", i))
		if t := ident.TagOf(n); used[t] {
			skipped++
		} else {
			used[t] = true
			names = append(names, n)
		}
	}
	return names, skipped
}

// allServiceNames holds the names for the largest number of services.
var allServiceNames, _ = serviceNames(maxServices)

func serviceName(i, services int) ident.ServiceName { return allServiceNames[i%max(services, 1)] }

// entry returns the entry of endpoint i.
func (a addresses) entry(i, services int) view.Entry {
	return view.Entry{
		Key:   view.Key{Hop: a.agent(i), Instance: ident.Instance(i + 1)},
		State: view.Serving, Seq: 1, Service: serviceName(i, services), Place: placeName(i),
	}
}

// Declaration returns a declaration with six places, two regions and the given number
// of services.
func Declaration(services int) *decl.Declaration {
	d := &decl.Declaration{Name: configName}
	for i := range placeCount {
		d.Places = append(d.Places, decl.Place{Name: string(placeName(i)), Region: fmt.Sprintf("region-%d", i%2)})
	}
	for i := range services {
		d.Services = append(d.Services, decl.Service{
			Name:        string(serviceName(i, services)),
			Address:     fmt.Sprintf("127.0.0.1:%d", firstPort+i),
			StreamPaths: []string{"/feeds/"},
			Shares:      []decl.Share{{Place: string(placeName(0)), Weight: 2}, {Group: "new", Weight: 0.5}},
			Limits:      decl.Limits{Slots: 4, Queue: 64, Connections: 2000, RequestBytes: 1 << 20},
		})
	}
	return d
}

// configObject is the value of the configuration object on the platform.
type configObject struct {
	Generation  ident.Generation  `json:"generation"`
	Writer      string            `json:"writer"`
	Declaration *decl.Declaration `json:"declaration"`
}

// configValue encodes the configuration object of a generation.
func configValue(g ident.Generation, services int, writer string) (json.RawMessage, error) {
	return json.Marshal(configObject{g, writer, Declaration(services)})
}

// Result is one measured value.
type Result struct {
	// Run names the kind of the measurement and its sizes.
	Run string `json:"run"`
	// Name is the measured quantity with its unit.
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Report receives results as they are measured.
type Report func(Result)

func (r Report) add(run, name string, v float64) { r(Result{run, name, v}) }

// byteRates reports the mean rate of each kind of message, in bytes per second and
// process.
func (r Report) byteRates(run, direction string, before, after map[string]uint64, processes int, took time.Duration) {
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

// waitUntil polls until the condition holds or waitTimeout has passed.
func waitUntil(ctx context.Context, poll time.Duration, what string, ok func() bool) error {
	begin := time.Now()
	for !ok() {
		if time.Since(begin) > waitTimeout {
			return &TimeoutError{what, waitTimeout}
		}
		if err := sleep(ctx, poll); err != nil {
			return err
		}
	}
	return nil
}

// sleep waits until the duration has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// TimeoutError reports that a condition did not hold within the time limit.
type TimeoutError struct {
	Condition string
	Limit     time.Duration
}

// Error implements error.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("timeout after %v, waiting for: %s", e.Limit, e.Condition)
}
