// Package agent implements the process that runs beside each upstream: it
// terminates the callers' QUIC connections and calls the upstream over
// loopback.
package agent

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

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

// Agent is an agent process: the QUIC server of one upstream, its admission
// control and its announcements.
type Agent struct {
	settings *config.Agent
	process  *proc.Frame
	client   *plat.Client
	// keys returns the accepted keys. It is safe for concurrent use.
	keys func() *connid.Set
	self ident.EndpointID
	// adminAddr is the address at which other hosts reach the admin server.
	adminAddr  netip.AddrPort
	serviceTag ident.ServiceTag
	hop        *hopConn
	servers    *servers
	tls        *tls.Config
	admission  *admission
	handler    *handler
	refusals   *refusalCounter
	health     upstreamHealth
	state      atomic.Int32
	// configured is false until the first configuration arrives. Until then the
	// limits and the stream paths are unknown, and a feed would occupy a slot.
	configured atomic.Bool
	// evacuated is true while the configuration in force evacuates the agent's
	// place.
	evacuated  atomic.Bool
	started    time.Time
	announcer  *announcer
	handshakes handshakes
	// setState announces a new state to balancers and the platform.
	setState func(view.State)
	// limits are the durations of a drain; tests shorten them.
	limits drain.Limits
	// lateServer refuses requests on connections whose handshake completes
	// after the drain or a key change began.
	lateServer *http3.Server
}

// New creates an agent and binds the addresses of its settings.
func New(s *config.Agent, p *proc.Frame) (*Agent, error) {
	keys, err := config.NewKeySource(s.KeysFile, p.Log)
	if err != nil {
		return nil, errors.Annotatef(err, "keys file %s", s.KeysFile)
	}
	cert, err := proc.FollowCertificate(p.Log, s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	a := &Agent{
		settings:   s,
		process:    p,
		client:     plat.New(s.Platform.URL, s.Platform.Timeout()),
		keys:       keys.Load,
		setState:   func(view.State) {},
		limits:     drain.Limits{Minimum: drainMinimum, Quiet: drainQuiet, Limit: s.DrainLimit()},
		serviceTag: ident.TagOf(ident.ServiceName(s.Service)),
	}
	a.client.Log = p.Log
	a.state.Store(int32(view.Serving))
	a.started = time.Now()
	a.configured.Store(len(s.Balancers) == 0) // without balancers no configuration arrives
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(s.HopAddress)))
	if err != nil {
		return nil, errors.Annotatef(err, "hopAddress")
	}
	a.self = ident.EndpointID{Addr: udp.LocalAddr().(*net.UDPAddr).AddrPort(), Instance: ident.NewInstance()}
	a.hop = newHopConn(a, udp, replyPolicy(s))
	a.handshakes.limit.perSecond = maxHandshakesPerSecond
	a.refusals = newRefusalCounter(p.Log, p.Scope)
	a.admission = newAdmission(admissionLimits(decl.Limits{}.WithDefaults()), s.SlowStart())
	a.handler = newHandler(a)
	a.Configure(&decl.Declaration{})
	admin, err := net.Listen("tcp4", s.AdminAddress)
	if err != nil {
		return nil, errors.Annotatef(err, "adminAddress")
	}
	a.adminAddr = proc.AdminAddr(admin, a.self.Addr.Addr())
	p.Admin(admin, func() any { return a.State() })
	a.tls = http3.ConfigureTLSConfig(&tls.Config{GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert.Get(), nil }})
	a.servers = newServers(a.keys().Current.Number, a.newServer)
	p.OnScrape(a.reportFlowsByKey)
	a.lateServer = a.newLateServer()
	p.Add("upstream check", a.checkUpstream)
	p.Add("QUIC server", a.serve)
	p.Add("slow start", a.admission.runSlowStart)
	p.Add("balancer pings", a.hop.pingBalancers)
	p.Add("keys file", keys.Run)
	p.Add("key change", a.watchKey)
	if err := a.addAnnouncer(); err != nil {
		return nil, err
	}
	a.updateDraining()
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
		admission: a.admission,
		tickets:   newTicketStore(a.self),
		refusals:  a.refusals,
		onRequest: a.flowRequested,
		place:     a.settings.Place,
		group:     a.settings.Group,
	}
	h.upstream = newUpstream(a.settings.Upstream, a.recordUpstreamDial)
	return h
}

// Configure applies the agent's service of a declaration. A service that is not
// declared gets the default limits.
func (a *Agent) Configure(d *decl.Declaration) {
	for _, s := range d.Services {
		if s.Name == a.settings.Service {
			a.handler.configure(s)
			return
		}
	}
	a.handler.configure(decl.Service{Name: a.settings.Service})
}

// accept puts a configuration in force.
func (a *Agent) accept(c *config.Accepted) {
	a.Configure(c.Declaration)
	a.configured.Store(true)
	evacuated := c.Declaration.Evacuates(decl.PlaceName(a.settings.Place))
	if a.evacuated.Swap(evacuated) != evacuated {
		log := a.process.Log.WithField("place", a.settings.Place).WithField("generation", c.Generation)
		if evacuated {
			log.Warn("place evacuated: no new flows")
		} else {
			log.Info("place taken back")
		}
	}
	a.updateDraining()
}

// serving reports whether probe answers and the state dump show the agent as
// serving. The announced entry does not depend on it.
func (a *Agent) serving() bool {
	return view.State(a.state.Load()) == view.Serving && a.configured.Load() && !a.evacuated.Load() && a.health.healthy()
}

// updateDraining sets whether the gate is draining: it is unless this agent can
// serve new flows.
func (a *Agent) updateDraining() {
	a.admission.setDraining(view.State(a.state.Load()) != view.Serving || !a.configured.Load() || a.evacuated.Load() || !a.health.reachable())
}

// configWait is how long after its start an agent without a configuration drops
// the packets of new flows instead of refusing the flows. Balancers use an agent
// from its announcement on and send it the configuration in reply.
const configWait = 2 * time.Second

// awaitsConfig reports whether a configuration is likely to arrive before a caller
// repeats its packet.
func (a *Agent) awaitsConfig() bool {
	return !a.configured.Load() && time.Since(a.started) < configWait
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
		a.lateServer.Close()
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

// serveConn serves a connection. Once the drain or a key change has begun, the
// HTTP/3 server of the flow accepts no connections; one whose handshake was
// still in progress is served by lateServer, which answers not-run.
func (a *Agent) serveConn(c *quic.Conn) {
	f := c.Context().Value(flowContextKey{}).(*flow)
	if errors.Is(f.server.ServeQUICConn(c), http.ErrServerClosed) {
		a.lateServer.ServeQUICConn(c)
	}
}

// refuseLateRequest answers a request on a connection of lateServer. With a
// ticket, the outcome is not-run only if the ticket was unused or refused.
func (a *Agent) refuseLateRequest(w http.ResponseWriter, r *http.Request) {
	if text := r.Header.Get(hdrs.Ticket); text != "" {
		a.handler.rejectTicket(w, text, http.StatusServiceUnavailable, string(admit.Draining))
		return
	}
	a.handler.answerNotRun(w, http.StatusServiceUnavailable, string(admit.Draining))
}

// State is the state dump of an agent.
type State struct {
	Endpoint string `json:"endpoint"`
	// Generation is the generation of the configuration in force; 0 means none.
	Generation ident.Generation `json:"generation"`
	State      string           `json:"state"`
	Serving    bool             `json:"serving"`
	// Evacuated is true while the agent's place is evacuated.
	Evacuated bool        `json:"evacuated,omitempty"`
	Service   string      `json:"service"`
	Requests  uint64      `json:"requests"`
	Admission admit.Stats `json:"admission"`
	// ConnectionsByKey counts the open connections by the number of the key
	// that was current when they were opened. A key may be dropped when its
	// count is 0.
	ConnectionsByKey map[uint8]int     `json:"connectionsByKey"`
	Tickets          ticket.Size       `json:"tickets"`
	Refused          map[string]uint64 `json:"refused"`
	Sessions         peer.State        `json:"sessions"`
	Counts           map[string]uint64 `json:"counts"`
	// Balancers are the balancers that replies are sent through.
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
		Evacuated:        a.evacuated.Load(),
		Service:          a.settings.Service,
		Requests:         a.handler.requests.Load(),
		Admission:        a.admission.stats(),
		ConnectionsByKey: a.servers.openByKey(),
		Tickets:          a.handler.tickets.size(),
		Refused:          a.refusals.totals(),
		Counts:           a.hop.totals(),
		Balancers:        a.hop.balancers(),
		Retries:          a.handshakes.retries.Load(),
	}
}
