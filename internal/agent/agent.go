// Package agent is the process beside each upstream: it terminates the
// callers' QUIC connections and calls the upstream over loopback.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"

	"github.com/bramleycourse/bramleycourse/internal/view"

	"github.com/juju/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/connid"
	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/peer"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/reply"
	"github.com/bramleycourse/bramleycourse/internal/ticket"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// Agent is one agent process.
type Agent struct {
	settings *config.Agent
	frame    *proc.Frame
	client   *plat.Client
	// keys returns the accepted keys; it is safe for concurrent use.
	keys func() *connid.Set
	self ident.EndpointID
	// adminAddr is where others reach the admin server.
	adminAddr netip.AddrPort
	tag       ident.ServiceTag
	hop       *hopConn
	servers   *servers
	tls       *tls.Config
	gate      *admission
	handler   *handler
	refusals  *reasons
	health    upstreamHealth
	state     atomic.Int32
	// configured is false until the first configuration arrives. Before it, the
	// agent does not know its limits and streaming paths: a feed would take a slot.
	configured atomic.Bool
	announcer  *announcer
	handshakes handshakes
	// setState announces a new state.
	setState func(view.State)
	// limits are the times of the drain; tests shorten them.
	limits drain.Limits
	// late serves connections whose handshake ends after the drain began.
	late *http3.Server
}

// New prepares an agent; it binds the addresses of the settings.
func New(s *config.Agent, f *proc.Frame) (*Agent, error) {
	keys, err := config.NewKeySource(s.KeysFile, f.Log)
	if err != nil {
		return nil, errors.Annotatef(err, "keys file %s", s.KeysFile)
	}
	cert, err := proc.FollowCertificate(f.Log, s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	a := &Agent{
		settings: s,
		frame:    f,
		client:   plat.New(s.Platform.URL, s.Platform.Timeout()),
		keys:     keys.Load,
		setState: func(view.State) {},
		limits:   drain.Limits{Minimum: drainMinimum, Quiet: drainQuiet, Limit: s.DrainLimit()},
		tag:      ident.TagOf(ident.ServiceName(s.Service)),
	}
	a.client.Log = f.Log
	a.state.Store(int32(view.Serving))
	a.configured.Store(len(s.Balancers) == 0) // without balancers none would ever arrive
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.HopAddress)))
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	a.self = ident.EndpointID{Addr: udp.LocalAddr().(*net.UDPAddr).AddrPort(), Instance: ident.NewInstance()}
	a.hop = newHopConn(a, udp, replyPolicy(s))
	a.handshakes.limit.perSecond = maxHandshakes
	a.refusals = newReasons(f.Log, f.Scope)
	a.gate = newAdmission(gateLimits(decl.Limits{}.WithDefaults()), s.SlowStart())
	a.handler = newHandler(a)
	a.Configure(&decl.Declaration{})
	admin, err := net.Listen("tcp4", s.AdminAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "adminAddress")
	}
	a.adminAddr = proc.AdminAddr(admin, a.self.Addr.Addr())
	f.Admin(admin, func() any { return a.State() })
	a.tls = http3.ConfigureTLSConfig(&tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.Get(), nil }})
	a.servers = newServers(a.keys().Current.Number, a.newServer)
	a.late = a.newLateServer()
	f.Add("upstream check", a.checkUpstream)
	f.Add("QUIC server", a.serve)
	f.Add("slow start", a.gate.warm)
	f.Add("balancer pings", a.hop.ping)
	f.Add("keys file", keys.Run)
	f.Add("key change", a.followKey)
	if err := a.join(); err != nil {
		return nil, err
	}
	a.updateGate()
	return a, nil
}

func replyPolicy(s *config.Agent) reply.Policy {
	if s.ReplyPolicy == config.ReplyPerPacket {
		return reply.PerPacket
	}
	return reply.PerCaller
}

func newHandler(a *Agent) *handler {
	h := &handler{
		gate:      a.gate,
		tickets:   newTicketStore(a.self),
		refusals:  a.refusals,
		requested: a.flowRequested,
		place:     a.settings.Place,
		group:     a.settings.Group,
	}
	h.upstream = newUpstream(a.settings.Upstream, a.upstreamDialed)
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

// serving says whether the agent reports itself as serving.
func (a *Agent) serving() bool {
	return view.State(a.state.Load()) == view.Serving && a.configured.Load() && a.health.good()
}

// updateGate makes the gate hand over new flows if the agent takes none.
func (a *Agent) updateGate() {
	a.gate.setDraining(view.State(a.state.Load()) != view.Serving || !a.configured.Load() || !a.health.reachable())
}

// serve accepts connections until the context ends.
func (a *Agent) serve(ctx context.Context) error {
	t := a.transport()
	defer t.Close()
	l, err := t.ListenEarly(a.tls, quicConfig())
	if err != nil {
		return errors.Trace(err)
	}
	stop := context.AfterFunc(ctx, func() {
		a.servers.closeAll()
		a.late.Close()
	})
	defer stop()
	for {
		c, err := l.Accept(ctx)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Trace(err)
		}
		go a.serveConn(c)
	}
}

// serveConn serves a connection. After the drain or the move to another key has
// begun, the HTTP/3 server of the flow accepts none; one whose handshake was
// under way then gets not-run answers.
func (a *Agent) serveConn(c *quic.Conn) {
	f := c.Context().Value(flowKey{}).(*flow)
	if errors.Is(f.server.ServeQUICConn(c), http.ErrServerClosed) {
		a.late.ServeQUICConn(c)
	}
}

func (a *Agent) refuseLate(w http.ResponseWriter, r *http.Request) {
	if text := r.Header.Get(hdrs.Ticket); text != "" {
		a.handler.rejectTicket(w, text, http.StatusServiceUnavailable, string(admit.Draining))
		return
	}
	a.handler.refuse(w, http.StatusServiceUnavailable, string(admit.Draining))
}

// State is the state dump of an agent.
type State struct {
	Endpoint string `json:"endpoint"`
	// Generation is that of the configuration in force; 0 means none.
	Generation ident.Generation `json:"generation"`
	State      string           `json:"state"`
	Serving    bool             `json:"serving"`
	Service    string           `json:"service"`
	Requests   uint64           `json:"requests"`
	Admission  admit.Stats      `json:"admission"`
	// ConnectionsByKey counts the open connections by the number of the key that
	// was current when they began. A key may be dropped when its count is 0.
	ConnectionsByKey map[uint8]int     `json:"connectionsByKey"`
	Tickets          ticket.Size       `json:"tickets"`
	Refused          map[string]uint64 `json:"refused"`
	Sessions         peer.State        `json:"sessions"`
	Counts           map[string]uint64 `json:"counts"`
	// Balancers are those that replies go through.
	Balancers []netip.AddrPort `json:"balancers"`
	Retries   uint64           `json:"retries"`
}

// State returns the current state dump.
func (a *Agent) State() State {
	return State{
		Endpoint:         a.self.String(),
		Generation:       a.announcer.Generation(),
		Sessions:         a.announcer.State(),
		State:            view.State(a.state.Load()).String(),
		Serving:          a.serving(),
		Service:          a.settings.Service,
		Requests:         a.handler.requests.Load(),
		Admission:        a.gate.stats(),
		ConnectionsByKey: a.servers.byKey(),
		Tickets:          a.handler.tickets.size(),
		Refused:          a.refusals.values(),
		Counts:           a.hop.values(),
		Balancers:        a.hop.balancers(),
		Retries:          a.handshakes.retries.Load(),
	}
}
