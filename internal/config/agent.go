package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Reply policies of an agent: which balancer its replies to a caller pass through.
const (
	// ReplyPerCaller sends all packets to a caller through one balancer.
	ReplyPerCaller = "perCaller"
	// ReplyPerPacket spreads the packets to a caller across the balancers.
	ReplyPerPacket = "perPacket"
)

const (
	maxSlowStartSeconds  = 3600
	maxDrainLimitSeconds = 7 * 24 * 3600
)

// Agent holds the settings of an agent.
type Agent struct {
	// Service is the name of the service that the upstream belongs to; not empty.
	Service string `json:"service"`
	// Place is the agent's availability zone; not empty.
	Place string `json:"place"`
	// Group is the group of upstreams that this one shares a weight with; may be empty.
	Group string `json:"group"`
	// HopAddress is the UDP address that receives packets from the balancers, IPv4
	// "ip:port". It is announced to them, so the IP must not be 0.0.0.0.
	HopAddress string `json:"hopAddress"`
	// AdminAddress is the TCP address of the admin server, "ip:port".
	AdminAddress string `json:"adminAddress"`
	// Upstream is the base URL of the upstream on this VM, "http://host:port".
	Upstream string `json:"upstream"`
	// HealthPath is the path of the upstream's health check; empty means none.
	HealthPath string `json:"healthPath"`
	// SlowStartSeconds is the time after the start in which the usable slots rise
	// from 1 to the limit, in seconds; 0 to 3600, default 0.
	SlowStartSeconds int `json:"slowStartSeconds"`
	// DrainLimitSeconds is the time after which a drain is ended with work left, in
	// seconds; 0 to 604800, default 0, which means no limit.
	DrainLimitSeconds int `json:"drainLimitSeconds"`
	// ReplyPolicy is "perCaller", the default, or "perPacket".
	ReplyPolicy string `json:"replyPolicy"`
	// Balancers lists the peer addresses of the initial balancers, IPv4 "ip:port".
	Balancers []string `json:"balancers"`
	// PeerTLS turns on mutual TLS for sessions to balancers.
	PeerTLS *PeerTLS `json:"peerTLS,omitempty"`
	// CertFile and KeyFile are the PEM files of the certificate shown to callers and
	// of its key. They are reloaded when they change.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// KeysFile is the path of the keys file; not empty.
	KeysFile string `json:"keysFile"`
	// LogLevel is the lowest level that is logged: "debug", "info" (the default),
	// "warn" or "error".
	LogLevel string   `json:"logLevel"`
	Platform Platform `json:"platform"`
}

// LoadAgent reads and validates the settings of an agent.
func LoadAgent(path string) (*Agent, error) {
	a := Agent{ReplyPolicy: ReplyPerCaller}
	if err := load(path, &a); err != nil {
		return nil, err
	}
	return &a, errors.Annotatef(a.check(), "settings file %s", path)
}

func (a *Agent) check() error {
	for _, f := range []struct{ path, value string }{
		{"service", a.Service},
		{"place", a.Place},
		{"certFile", a.CertFile},
		{"keyFile", a.KeyFile},
		{"keysFile", a.KeysFile},
	} {
		if f.value == "" {
			return &FieldError{f.path, "must not be empty"}
		}
	}
	for _, f := range []struct{ path, value string }{
		{"hopAddress", a.HopAddress},
		{"adminAddress", a.AdminAddress},
	} {
		if err := checkIPv4Addr(f.path, f.value); err != nil {
			return err
		}
	}
	// The agent announces this address to the balancers.
	if netip.MustParseAddrPort(a.HopAddress).Addr().IsUnspecified() {
		return &FieldError{"hopAddress", "must not be the unspecified address"}
	}
	if err := checkLogLevel(&a.LogLevel); err != nil {
		return err
	}
	if err := a.checkUpstream(); err != nil {
		return err
	}
	for _, f := range []struct {
		path         string
		value, limit int
	}{
		{"slowStartSeconds", a.SlowStartSeconds, maxSlowStartSeconds},
		{"drainLimitSeconds", a.DrainLimitSeconds, maxDrainLimitSeconds},
	} {
		if f.value < 0 || f.value > f.limit {
			return &FieldError{f.path, fmt.Sprintf("%d is not in 0 to %d", f.value, f.limit)}
		}
	}
	if p := a.ReplyPolicy; p != "" && p != ReplyPerCaller && p != ReplyPerPacket {
		return &FieldError{"replyPolicy", fmt.Sprintf("%q is neither %q nor %q", p, ReplyPerCaller, ReplyPerPacket)}
	}
	if err := a.checkSessions(); err != nil {
		return err
	}
	return a.Platform.check()
}

// checkSessions checks the settings of the sessions to balancers.
func (a *Agent) checkSessions() error {
	for i, b := range a.Balancers {
		if err := checkReachableAddr(fmt.Sprintf("balancers[%d]", i), b); err != nil {
			return err
		}
	}
	return a.PeerTLS.check()
}

func (a *Agent) checkUpstream() error {
	u, err := url.Parse(a.Upstream)
	if err != nil || u.Scheme != "http" || u.Host == "" || u.Path != "" || u.RawQuery != "" || u.User != nil {
		return &FieldError{"upstream", fmt.Sprintf("%q is not of the form http://host:port", a.Upstream)}
	}
	if a.HealthPath != "" && !strings.HasPrefix(a.HealthPath, "/") {
		return &FieldError{"healthPath", fmt.Sprintf("%q does not begin with /", a.HealthPath)}
	}
	return nil
}

// SlowStart returns SlowStartSeconds as a duration.
func (a *Agent) SlowStart() time.Duration { return time.Duration(a.SlowStartSeconds) * time.Second }

// DrainLimit returns the time after which a drain is ended with work left; 0 means
// never.
func (a *Agent) DrainLimit() time.Duration { return time.Duration(a.DrainLimitSeconds) * time.Second }
