// Package config reads the settings files of the processes: strict JSON with
// defaults, ranges and errors that name the field.
package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
)

// FieldError reports an invalid field of a settings file.
type FieldError struct {
	// Path names the field, as in "platform.url".
	Path string
	// Reason says what is wrong with the value.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Platform says how to reach the platform's object API.
type Platform struct {
	// URL is the base URL of the API; not empty.
	URL string `json:"url"`
	// RequestTimeoutMillis bounds one call, in milliseconds; 10 to 60000, default 2000.
	RequestTimeoutMillis int `json:"requestTimeoutMillis"`
}

// Balancer holds the settings of a balancer.
type Balancer struct {
	// Name is unique among the balancers; not empty.
	Name string `json:"name"`
	// Place is the balancer's availability zone; not empty.
	Place string `json:"place"`
	// CallerIP replaces the IP of each service's declared address when it is set.
	CallerIP string `json:"callerIP"`
	// HopAddress is the UDP address for the hop to the agents, "ip:port".
	HopAddress string `json:"hopAddress"`
	// PeerAddress is the TCP address for sessions of peers and agents, "ip:port".
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the TCP address of the admin server, "ip:port".
	AdminAddress string `json:"adminAddress"`
	// ConfigName names the configuration object on the platform; default "main".
	ConfigName string `json:"configName"`
	// Peers lists peer addresses of other balancers to begin with.
	Peers []string `json:"peers"`
	// AgentNetworks lists the prefixes that agents' addresses are in; not empty.
	AgentNetworks []string `json:"agentNetworks"`
	// KeysFile is the path of the keys file; not empty.
	KeysFile string   `json:"keysFile"`
	Platform Platform `json:"platform"`
}

func load(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return errors.Annotatef(err, "settings file %s", path)
	}
	return nil
}

const defaultRequestTimeoutMillis = 2000

func (p *Platform) check() error {
	if p.URL == "" {
		return &FieldError{"platform.url", "must not be empty"}
	}
	if p.RequestTimeoutMillis == 0 {
		p.RequestTimeoutMillis = defaultRequestTimeoutMillis
	}
	return nil
}

func checkAddr(path, v string) error {
	if a, err := netip.ParseAddrPort(v); err != nil || !a.Addr().Is4() {
		return &FieldError{path, fmt.Sprintf("%q is not an IPv4 address and port", v)}
	}
	return nil
}

// LoadBalancer reads and checks the settings of a balancer.
func LoadBalancer(path string) (*Balancer, error) {
	b := Balancer{ConfigName: "main"}
	if err := load(path, &b); err != nil {
		return nil, err
	}
	for _, f := range []struct{ path, value string }{
		{"hopAddress", b.HopAddress},
		{"peerAddress", b.PeerAddress},
		{"adminAddress", b.AdminAddress},
	} {
		if err := checkAddr(f.path, f.value); err != nil {
			return nil, err
		}
	}
	return &b, b.Platform.check()
}

// Timeout returns the bound on one call.
func (p *Platform) Timeout() time.Duration {
	return time.Duration(p.RequestTimeoutMillis) * time.Millisecond
}
