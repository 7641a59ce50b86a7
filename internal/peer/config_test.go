package peer

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// configObject returns a configuration whose services have different tags.
func configObject(t *testing.T, generation ident.Generation, services int) []byte {
	t.Helper()
	d := decl.Declaration{Name: "main", Places: []decl.Place{{Name: "recife", Region: "nordeste"}}}
	tags := map[ident.ServiceTag]bool{}
	for i := 0; len(d.Services) < services; i++ {
		name := fmt.Sprintf("service-%04d", i)
		if tag := ident.TagOf(ident.ServiceName(name)); !tags[tag] {
			tags[tag] = true
			d.Services = append(d.Services, decl.Service{
				Name: name, Address: fmt.Sprintf("10.9.%d.%d:443", i>>8, i&255), StreamPaths: []string{"/feeds/"},
				Shares: []decl.Share{{Place: "recife", Weight: 2}}, Limits: decl.Limits{Slots: 4, Queue: 64},
			})
		}
	}
	raw, err := json.Marshal(d)
	if err != nil {
		t.Fatal(err)
	}
	value, err := json.Marshal(config.Object{Generation: generation, Writer: "w", Declaration: raw})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// configBytesSent returns the number of bytes sent in messages about
// configurations.
func configBytesSent(n *testNode) (sum uint64) {
	for kind, v := range n.State().Traffic.Sent {
		if strings.HasPrefix(kind, "config") {
			sum += v
		}
	}
	return sum
}

// agentConfigs opens a session as endpoint i of a service and returns a channel
// of the configurations that it receives.
func agentConfigs(t *testing.T, n *testNode, i int, service string) <-chan []byte {
	t.Helper()
	e := endpointItem(i)
	e.Service = ident.ServiceName(service)
	s, err := dial(t.Context(), n.addr, nil, newTraffic(nil), e)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.close)
	values := make(chan []byte, 4)
	go func() {
		defer close(values)
		for {
			f, err := s.read(maxFrame)
			if err != nil {
				return
			}
			if c := f.GetConfig(); c != nil {
				values <- c.GetValue()
			}
		}
	}()
	return values
}

// TestConfigTraffic guards the control traffic budget of 21 KB/s: balancers must
// not send each other a configuration that all get from the platform, and an
// agent must get only its own service, or none if the service is not declared.
func TestConfigTraffic(t *testing.T) {
	const agents = 20
	for _, services := range []int{10, 300} {
		ns := startNodes(t, 4)
		eventually(t, 10*time.Second, "3 peers", func() bool { return len(ns[0].State().Sessions) >= 3 })
		for _, n := range ns {
			n.SetConfig(1, configObject(t, 1, services))
		}
		var received []<-chan []byte
		for i := range agents {
			service := fmt.Sprintf("service-%04d", i%5)
			if i == agents-1 {
				service = "unknown"
			}
			received = append(received, agentConfigs(t, ns[0], i, service))
			<-received[i]
		}
		before := configBytesSent(ns[0])
		value := configObject(t, 2, services)
		// All nodes get it at the same time, as from watches of the platform.
		for _, n := range ns {
			go n.SetConfig(2, value)
		}
		for i, values := range received {
			checkReduced(t, <-values, i, agents)
		}
		// Within this time any request would have been answered.
		begin := time.Now()
		eventually(t, 3*time.Second, "the longest wait of a request", func() bool { return time.Since(begin) > time.Second })
		sent := configBytesSent(ns[0]) - before
		t.Logf("%d services, value of %d bytes: %d bytes sent per change to 3 peers and %d agents", services, len(value), sent, agents)
		if sent > 600*agents {
			t.Errorf("%d services: want at most %d bytes, have %d", services, 600*agents, sent)
		}
		for _, n := range ns {
			n.stop()
		}
	}
}

// checkReduced checks that agent i got generation 2 with only its own service.
func checkReduced(t *testing.T, value []byte, i, agents int) {
	t.Helper()
	c, err := config.ParseAccepted("main", value)
	if err != nil {
		t.Fatal(err)
	}
	have := []string{}
	for _, s := range c.Declaration.Services {
		have = append(have, s.Name)
	}
	want := []string{fmt.Sprintf("service-%04d", i%5)}
	if i == agents-1 {
		want = []string{}
	}
	if c.Generation != 2 || len(c.Declaration.Places) != 1 || fmt.Sprint(have) != fmt.Sprint(want) {
		t.Errorf("agent %d: want generation 2, 1 place and services %v, have %d, %d and %v",
			i, want, c.Generation, len(c.Declaration.Places), have)
	}
}
