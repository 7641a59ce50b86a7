package config

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

const (
	// maxBalancerDrainSeconds allows for feeds that stay open for days.
	maxBalancerDrainSeconds = 7 * 24 * 3600
	// maxPeers is a number of addresses.
	maxPeers = 64
	// maxNetworks is a number of prefixes.
	maxNetworks = 256
	// maxNameLength is in bytes.
	maxNameLength = 63
)

// Balancer holds the settings of a balancer.
type Balancer struct {
	// Name is unique among the balancers; 1 to 63 letters, digits, "-", "." or "_".
	Name string `json:"name"`
	// Place is the balancer's availability zone; 1 to 63 bytes.
	Place string `json:"place"`
	// CallerIP, if set, replaces the IP of each service's declared address.
	CallerIP string `json:"callerIP"`
	// HopAddress is the UDP address for packets to and from the agents, IPv4
	// "ip:port". Agents send replies there, so the IP must not be 0.0.0.0.
	HopAddress string `json:"hopAddress"`
	// PeerAddress is the TCP address that accepts sessions from peers and agents,
	// IPv4 "ip:port". It is announced to them, so neither the IP 0.0.0.0 nor port 0
	// is allowed.
	PeerAddress string `json:"peerAddress"`
	// AdminAddress is the TCP address of the admin server, IPv4 "ip:port".
	AdminAddress string `json:"adminAddress"`
	// ConfigName is the name of the configuration object on the platform; default
	// "main".
	ConfigName string `json:"configName"`
	// Peers lists the peer addresses of up to 64 initial peers.
	Peers []string `json:"peers"`
	// PeerTLS turns on mutual TLS for sessions with peers and agents.
	PeerTLS *PeerTLS `json:"peerTLS,omitempty"`
	// AgentNetworks lists the 1 to 256 IPv4 prefixes that agents' addresses must be in.
	AgentNetworks []string `json:"agentNetworks"`
	// KeysFile is the path of the keys file; not empty.
	KeysFile string `json:"keysFile"`
	// DrainLimitSeconds is the time after which a drain is ended with work left, in
	// seconds; 0 to 604800, default 0, which means no limit.
	DrainLimitSeconds int `json:"drainLimitSeconds"`
	// LogLevel is the lowest level that is logged: "debug", "info" (the default),
	// "warn" or "error".
	LogLevel string   `json:"logLevel"`
	Platform Platform `json:"platform"`
}

// PeerTLS holds the paths of the PEM files for mutual TLS between balancers and
// agents; none is empty.
type PeerTLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	// CAFile is the certificate of an authority that signs only certificates of
	// balancers and agents.
	CAFile string `json:"caFile"`
}

func (p *PeerTLS) check() error {
	if p == nil {
		return nil
	}
	for _, f := range []struct{ path, value string }{
		{"peerTLS.certFile", p.CertFile},
		{"peerTLS.keyFile", p.KeyFile},
		{"peerTLS.caFile", p.CAFile},
	} {
		if f.value == "" {
			return &FieldError{f.path, "must not be empty"}
		}
	}
	return nil
}

// LoadBalancer reads and validates the settings of a balancer.
func LoadBalancer(path string) (*Balancer, error) {
	b := Balancer{ConfigName: "main"}
	if err := load(path, &b); err != nil {
		return nil, err
	}
	return &b, errors.Annotatef(b.check(), "settings file %s", path)
}

func (b *Balancer) check() error {
	for _, f := range []func() error{b.checkNames, b.checkAddresses, b.checkNetworks, b.PeerTLS.check, b.Platform.check} {
		if err := f(); err != nil {
			return err
		}
	}
	if b.DrainLimitSeconds < 0 || b.DrainLimitSeconds > maxBalancerDrainSeconds {
		return &FieldError{"drainLimitSeconds", fmt.Sprintf("%d is not in 0 to %d", b.DrainLimitSeconds, maxBalancerDrainSeconds)}
	}
	return checkLogLevel(&b.LogLevel)
}

func (b *Balancer) checkNames() error {
	if b.KeysFile == "" {
		return &FieldError{"keysFile", "must not be empty"}
	}
	for _, f := range []struct{ path, value string }{
		{"name", b.Name},
		{"place", b.Place},
		{"configName", b.ConfigName},
	} {
		if len(f.value) == 0 || len(f.value) > maxNameLength {
			return &FieldError{f.path, fmt.Sprintf("must have 1 to %d bytes", maxNameLength)}
		}
	}
	// Name and ConfigName become parts of URL paths of the platform's API.
	for _, f := range []struct{ path, value string }{{"name", b.Name}, {"configName", b.ConfigName}} {
		for _, c := range f.value {
			if !isNameChar(c) {
				return &FieldError{f.path, fmt.Sprintf("contains the invalid character %q", c)}
			}
		}
	}
	return nil
}

func isNameChar(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '.' || c == '_'
}

func (b *Balancer) checkAddresses() error {
	for _, f := range []struct{ path, value string }{
		{"hopAddress", b.HopAddress},
		{"peerAddress", b.PeerAddress},
		{"adminAddress", b.AdminAddress},
	} {
		if err := checkIPv4Addr(f.path, f.value); err != nil {
			return err
		}
	}
	if netip.MustParseAddrPort(b.HopAddress).Addr().IsUnspecified() {
		return &FieldError{"hopAddress", "must not be the unspecified address"}
	}
	if err := checkReachableAddr("peerAddress", b.PeerAddress); err != nil {
		return err
	}
	if a, err := netip.ParseAddr(b.CallerIP); b.CallerIP != "" && (err != nil || !a.Is4()) {
		return &FieldError{"callerIP", fmt.Sprintf("%q is not an IPv4 address", b.CallerIP)}
	}
	if len(b.Peers) > maxPeers {
		return &FieldError{"peers", fmt.Sprintf("has %d addresses, the limit is %d", len(b.Peers), maxPeers)}
	}
	for i, p := range b.Peers {
		if err := checkReachableAddr(fmt.Sprintf("peers[%d]", i), p); err != nil {
			return err
		}
	}
	return nil
}

// checkReachableAddr checks an address that other processes connect to.
func checkReachableAddr(path, v string) error {
	a, err := netip.ParseAddrPort(v)
	if err != nil || !a.Addr().Is4() || a.Addr().IsUnspecified() || a.Port() == 0 {
		return &FieldError{path, fmt.Sprintf("%q is not an IPv4 address and port that others can connect to", v)}
	}
	return nil
}

func (b *Balancer) checkNetworks() error {
	if n := len(b.AgentNetworks); n == 0 || n > maxNetworks {
		return &FieldError{"agentNetworks", fmt.Sprintf("must have 1 to %d prefixes", maxNetworks)}
	}
	for i, n := range b.AgentNetworks {
		p, err := netip.ParsePrefix(n)
		if err != nil || !p.Addr().Is4() || p != p.Masked() {
			return &FieldError{fmt.Sprintf("agentNetworks[%d]", i), fmt.Sprintf("%q is not an IPv4 prefix", n)}
		}
	}
	return nil
}

// DrainLimit returns the time after which a drain is ended with work left; 0 means
// never.
func (b *Balancer) DrainLimit() time.Duration {
	return time.Duration(b.DrainLimitSeconds) * time.Second
}
