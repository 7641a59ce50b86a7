package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Reply policies of an agent.
const (
	// ReplyPerCaller sends all packets of a caller through one balancer.
	ReplyPerCaller = "perCaller"
	// ReplyPerPacket spreads the packets of a caller over the balancers.
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
	// Group labels the upstream for weighted shares; may be empty.
	Group string `json:"group"`
	// HopAddress is the UDP address for the hop from the balancers, IPv4
	// "ip:port". It is announced, so the IP must not be 0.0.0.0.
	HopAddress string `json:"hopAddress"`
	// AdminAddress is the TCP address of the admin server, "ip:port".
	AdminAddress string `json:"adminAddress"`
	// Upstream is the base URL of the upstream on this VM, "http://host:port".
	Upstream string `json:"upstream"`
	// HealthPath is the path of the upstream's health check; empty means none.
	HealthPath string `json:"healthPath"`
	// SlowStartSeconds is the time in which the usable slots rise from 1 to the
	// limit after the start; 0 to 3600, default 0.
	SlowStartSeconds int `json:"slowStartSeconds"`
	// DrainLimitSeconds ends a drain that takes longer; 0 to 604800, default 0,
	// which means no limit.
	DrainLimitSeconds int `json:"drainLimitSeconds"`
	// ReplyPolicy is "perCaller", the default, or "perPacket".
	ReplyPolicy string `json:"replyPolicy"`
	// Balancers lists peer addresses of balancers to begin with, IPv4 "ip:port".
	Balancers []string `json:"balancers"`
	// PeerTLS turns on mutual TLS for sessions to balancers.
	PeerTLS *PeerTLS `json:"peerTLS,omitempty"`
	// CertFile and KeyFile hold the certificate shown to callers, PEM. They are
	// read again when they change.
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// KeysFile is the path of the keys file; not empty.
	KeysFile string `json:"keysFile"`
	// LogLevel is the lowest level that is logged: "debug", "info", the default,
	// "warn" or "error".
	LogLevel string   `json:"logLevel"`
	Platform Platform `json:"platform"`
}

// LoadAgent reads and checks the settings of an agent.
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
		if err := checkAddr(f.path, f.value); err != nil {
			return err
		}
	}
	// The agent announces the address that its socket is bound to.
	if netip.MustParseAddrPort(a.HopAddress).Addr().IsUnspecified() {
		return &FieldError{"hopAddress", "must not be the unspecified address"}
	}
	if err := checkLevel(&a.LogLevel); err != nil {
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

// checkSessions checks what the agent needs for its sessions to balancers.
func (a *Agent) checkSessions() error {
	for i, b := range a.Balancers {
		if err := checkRemote(fmt.Sprintf("balancers[%d]", i), b); err != nil {
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

// SlowStart returns the time of the slow start.
func (a *Agent) SlowStart() time.Duration { return time.Duration(a.SlowStartSeconds) * time.Second }

// DrainLimit returns the time after which a drain is cut; 0 means never.
func (a *Agent) DrainLimit() time.Duration { return time.Duration(a.DrainLimitSeconds) * time.Second }
