// Package config reads the settings files of the processes: strict JSON with
// defaults, ranges and errors that name the field.
package config

import (
	"fmt"
	"net/netip"
	"net/url"
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

// Agent holds the settings of an agent.
type Agent struct {
	// Service is the name of the service that the upstream belongs to; not empty.
	Service string `json:"service"`
	// Place is the agent's availability zone; not empty.
	Place string `json:"place"`
	// Group labels the upstream for weighted shares; may be empty.
	Group string `json:"group"`
	// HopAddress is the UDP address for the hop from the balancers, IPv4 "ip:port".
	HopAddress string `json:"hopAddress"`
	// AdminAddress is the TCP address of the admin server, "ip:port".
	AdminAddress string `json:"adminAddress"`
	// Upstream is the base URL of the upstream on this VM; not empty.
	Upstream string `json:"upstream"`
	// Balancers lists peer addresses of balancers to begin with.
	Balancers []string `json:"balancers"`
	// PeerTLS turns on mutual TLS for sessions to balancers.
	PeerTLS *PeerTLS `json:"peerTLS,omitempty"`
	// CertFile and KeyFile hold the certificate shown to callers, PEM.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// KeysFile is the path of the keys file; not empty.
	KeysFile string   `json:"keysFile"`
	Platform Platform `json:"platform"`
}

func load(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := decodeStrict(b, v); err != nil {
		return errors.Annotatef(err, "settings file %s", path)
	}
	return nil
}

const (
	defaultRequestTimeoutMillis = 2000
	minRequestTimeoutMillis     = 10
	maxRequestTimeoutMillis     = 60000
)

func (p *Platform) check() error {
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return &FieldError{"platform.url", fmt.Sprintf("%q is not an http or https URL", p.URL)}
	}
	if p.RequestTimeoutMillis == 0 {
		p.RequestTimeoutMillis = defaultRequestTimeoutMillis
	}
	if t := p.RequestTimeoutMillis; t < minRequestTimeoutMillis || t > maxRequestTimeoutMillis {
		return &FieldError{"platform.requestTimeoutMillis", fmt.Sprintf("%d is not in %d to %d", t, minRequestTimeoutMillis, maxRequestTimeoutMillis)}
	}
	return nil
}

func checkAddr(path, v string) error {
	if a, err := netip.ParseAddrPort(v); err != nil || !a.Addr().Is4() {
		return &FieldError{path, fmt.Sprintf("%q is not an IPv4 address and port", v)}
	}
	return nil
}

// LoadAgent reads and checks the settings of an agent.
func LoadAgent(path string) (*Agent, error) {
	var a Agent
	if err := load(path, &a); err != nil {
		return nil, err
	}
	for _, f := range []struct{ path, value string }{
		{"hopAddress", a.HopAddress},
		{"adminAddress", a.AdminAddress},
	} {
		if err := checkAddr(f.path, f.value); err != nil {
			return nil, err
		}
	}
	return &a, a.Platform.check()
}

// Timeout returns the bound on one call.
func (p *Platform) Timeout() time.Duration {
	return time.Duration(p.RequestTimeoutMillis) * time.Millisecond
}
