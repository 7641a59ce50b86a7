// Package agent is the process beside each upstream: it terminates the
// callers' QUIC connections and calls the upstream over loopback.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Agent is one agent process.
type Agent struct {
	settings *config.Agent
	frame    *proc.Frame
	client   *plat.Client
	keys     *connid.Set
	self     ident.EndpointID
	tag      ident.ServiceTag
	hop      *hopConn
	server   *http3.Server
	gate     *admission
	handler  *handler
	refusals *reasons
}

// New prepares an agent; it binds the addresses of the settings.
func New(s *config.Agent, f *proc.Frame) (*Agent, error) {
	keys, err := config.LoadKeys(s.KeysFile)
	if err != nil {
		return nil, errors.Annotatef(err, "keys file %s", s.KeysFile)
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	a := &Agent{
		settings: s,
		frame:    f,
		client:   plat.New(s.Platform.URL, s.Platform.Timeout()),
		keys:     keys,
		tag:      ident.TagOf(ident.ServiceName(s.Service)),
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.HopAddress)))
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	a.self = ident.EndpointID{Addr: udp.LocalAddr().(*net.UDPAddr).AddrPort(), Instance: ident.NewInstance()}
	a.hop = newHopConn(a, udp)
	a.refusals = newReasons(f.Log, f.Scope)
	a.gate = newAdmission(gateLimits(decl.Limits{}.WithDefaults()), 0)
	a.handler = newHandler(a)
	a.Configure(&decl.Declaration{})
	admin, err := net.Listen("tcp4", s.AdminAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "adminAddress")
	}
	f.Admin(admin, func() any { return a.State() })
	a.server = &http3.Server{
		Handler:        a.handler,
		MaxHeaderBytes: maxHeaderBytes,
		TLSConfig:      http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}}),
	}
	f.Add("QUIC server", a.serve)
	f.Add("announcement", a.announce)
	return a, nil
}

func newHandler(a *Agent) *handler {
	h := &handler{
		gate:      a.gate,
		desk:      newDesk(a.self),
		refusals:  a.refusals,
		requested: func(context.Context) {},
	}
	h.upstream = newUpstream(a.settings.Upstream, func(error) {})
	return h
}

// Configure puts the agent's service of a declaration in force. A service that
// the declaration does not hold gets the default limits.
func (a *Agent) Configure(d *decl.Declaration) {
	for _, s := range d.Services {
		if s.Name == a.settings.Service {
			a.handler.configure(s)
			return
		}
	}
	a.handler.configure(decl.Service{Name: a.settings.Service})
}

// Run runs the agent until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	a.frame.Log.WithField("endpoint", a.self).Info("agent started")
	return a.frame.Run(ctx)
}

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 60 * time.Second
	// packetSize leaves room for the hop header in a 1500-octet MTU.
	packetSize = 1280
)

func (a *Agent) serve(ctx context.Context) error {
	reset := quic.StatelessResetKey(a.keys.Current.ResetKey)
	t := &quic.Transport{
		Conn:                  a.hop,
		ConnectionIDGenerator: &idSource{agent: a},
		StatelessResetKey:     &reset,
	}
	defer t.Close()
	l, err := t.ListenEarly(a.server.TLSConfig, &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		InitialPacketSize:       packetSize,
		DisablePathMTUDiscovery: true,
	})
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { a.server.Close() })
	defer stop()
	err = a.server.ServeListener(l)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return err
}

// idSource makes connection IDs that name the agent.
type idSource struct {
	agent   *Agent
	counter atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (s *idSource) GenerateConnectionID() (quic.ConnectionID, error) {
	id := s.agent.keys.Encode(connid.Target{Endpoint: s.agent.self, Service: s.agent.tag}, s.counter.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (s *idSource) ConnectionIDLen() int { return connid.Size }

// State is the state dump of an agent.
type State struct {
	Endpoint  string            `json:"endpoint"`
	Service   string            `json:"service"`
	Requests  uint64            `json:"requests"`
	Admission admit.Stats       `json:"admission"`
	Tickets   ticket.Size       `json:"tickets"`
	Refused   map[string]uint64 `json:"refused"`
	Counts    map[string]uint64 `json:"counts"`
}

// State returns the current state dump.
func (a *Agent) State() State {
	return State{
		Endpoint:  a.self.String(),
		Service:   a.settings.Service,
		Requests:  a.handler.requests.Load(),
		Admission: a.gate.stats(),
		Tickets:   a.handler.desk.size(),
		Refused:   a.refusals.values(),
		Counts:    a.hop.values(),
	}
}
