package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// minStop keeps a stopping balancer until the fabric has noticed: it asks
	// for readiness twice a second and takes two misses.
	minStop = 1300 * time.Millisecond
	// quietStop is the time without a packet of a caller after which it ends.
	quietStop = 400 * time.Millisecond
	// stopMargin is kept between the end of a stop and the kill.
	stopMargin = time.Second
	stopCheck  = 50 * time.Millisecond
)

// Settings are the settings of a balancer.
type Settings struct {
	Name  string
	Place ident.PlaceName
	// Hop is the address for callers' packets, Ready the one for readiness
	// checks, Peer the one for other processes (UDP, and TCP for configurations).
	Hop, Ready, Peer netip.AddrPort
	// Bind is the address that the sockets of Hop and Peer are bound to, where those
	// are translated on the way; not valid for their own.
	Bind netip.Addr
	// Metrics is the address of the metrics page; none if it is not valid.
	Metrics      netip.AddrPort
	Seeds        []netip.AddrPort
	FlowLifetime time.Duration
	// StopLimit is the time between the signal to stop and the kill.
	StopLimit time.Duration
}

// Front is a running balancer.
type Front struct {
	settings Settings
	core     *Core
	loop     *node.Loop
	out      *node.Output
	log      *logrus.Entry
	store    *plat.Client
	http     *http.Client
	config   ConfigObject
	hop      *node.Socket
	peer     *node.Socket
	metrics  *node.Metrics
	parts    *node.Parts
	// ready is set while the balancer has a configuration and does not stop.
	ready, stopping atomic.Bool
	// cancelWatch ends the present watch call.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// packets counts callers' packets; guarded by the loop.
	packets uint64
}

// ConfigObject says where the operator's configuration is and how to read it.
type ConfigObject struct {
	Name  string
	Parse func(value []byte) (*rules.Table, error)
}

// New opens the sockets of a balancer.
func New(s Settings, c flow.Codec, store *plat.Client, o ConfigObject, out *node.Output, log *logrus.Entry) (*Front, error) {
	f := &Front{
		settings: s,
		loop:     node.New(log),
		out:      out,
		log:      log,
		store:    store,
		config:   o,
		http:     &http.Client{Transport: node.Transport()},
	}
	f.parts = node.NewParts(f.loop, log)
	var err error
	if f.hop, err = f.parts.Listen(node.Bound(s.Hop, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "packets")
	}
	if f.peer, err = f.parts.Listen(node.Bound(s.Peer, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "messages")
	}
	f.core = NewCore(f.loop.Now(), Self{
		Name: s.Name, Instance: ident.NewInstance(), Place: s.Place, Hop: s.Hop, Peer: s.Peer,
		Seq: ident.Seq(time.Now().UnixMilli()), FlowLifetime: s.FlowLifetime, Seeds: s.Seeds,
	}, c)
	f.core.Log, f.core.Sample = log, out.Sample
	f.metrics = node.NewMetrics("balancer", f.collect)
	f.parts.Metrics = f.metrics
	f.core.Answer = f.metrics.Histogram("offerAnswer")
	f.core.ToAgent = f.peer.Send
	port := s.Hop.Port()
	f.core.ToCaller = func(b []byte, caller netip.Addr) { f.hop.Send(b, netip.AddrPortFrom(caller, port)) }
	f.core.Forgotten = func(agent netip.AddrPort) {
		if f.core.First() {
			go f.removeAgent(agent)
		}
	}
	f.core.Fetch = func(from netip.AddrPort) { go f.fetch(from) }
	return f, nil
}

// Run serves until a signal to stop has been handled. Reload is called on a
// signal to reload and from time to time.
func (f *Front) Run(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := f.parts.Serve(f.settings.Ready, f.readiness()); err != nil {
		return err
	}
	if err := f.parts.Serve(f.settings.Peer, f.configuration()); err != nil {
		return err
	}
	if err := f.parts.Serve(f.settings.Metrics, f.metrics.Handler()); err != nil {
		return err
	}
	f.loop.Attach(node.Ticker{Tick: f.core.Tick, Due: f.core.Due})
	f.parts.Spawn(func() { f.loop.Serve(f.hop, f.fromCaller) })
	f.parts.Spawn(func() { f.loop.Serve(f.peer, f.core.FromAgent) })
	f.parts.Spawn(func() { f.watch(ctx) })
	f.parts.Spawn(func() { f.register(ctx) })
	f.log.WithFields(logrus.Fields{
		"event": "start", "place": f.settings.Place, "hop": f.settings.Hop, "peer": f.settings.Peer, "seeds": f.settings.Seeds,
	}).Info("balancer started")
	f.control(signals, reload)
	cancel()
	f.loop.Do(f.core.Stop)
	f.parts.Close()
	f.log.WithField("event", "stop").WithField("counts", fmt.Sprintf("%+v", f.core.Counts)).Info("balancer stopped")
	return nil
}

// collect updates the metrics.
func (f *Front) collect(m *node.Metrics) {
	var c Counts
	f.loop.Do(func(time.Duration) {
		c = f.core.Counts
		m.Counter("packetsFromCallers", f.packets)
		m.Counter("sendFailures", f.hop.Failed+f.peer.Failed)
		m.Gauge("generation", float64(f.core.Rules().Generation()))
		m.Gauge("balancers", float64(1+len(f.core.Peers())))
		m.Gauge("hints", float64(f.core.hints.Len()))
		m.Gauge("agents", float64(len(f.core.members.byAddr)))
		m.Gauge("isolated", oneIf(f.core.Isolated()))
		m.Gauge("agentsDown", float64(f.core.members.down()))
		m.Gauge("openingsPending", float64(len(f.core.pending.byKey)))
	})
	m.Counters(c)
	m.Shared(f.store, f.out)
}

// oneIf returns the gauge of a condition.
func oneIf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (f *Front) fromCaller(now time.Duration, b []byte, _ netip.AddrPort) {
	f.packets++
	f.core.FromCaller(now, b)
}

// control handles signals until the balancer may end.
func (f *Front) control(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) {
	var seen uint64
	c := node.Control{
		Signals: signals, Reload: reload, Check: stopCheck, Log: f.log,
		Limits: drain.Limits{Minimum: minStop, Quiet: quietStop, Limit: max(minStop, f.settings.StopLimit-stopMargin)},
		Seeds:  func(seeds []netip.AddrPort) { f.loop.Do(func(time.Duration) { f.core.SetSeeds(seeds) }) },
		Leave: func() {
			f.stopping.Store(true)
			f.ready.Store(false)
		},
		Busy: func() (busy bool) {
			f.loop.Do(func(time.Duration) { busy, seen = f.packets != seen, f.packets })
			return busy
		},
	}
	c.Run()
}

// readiness answers whether the balancer may get packets.
func (f *Front) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		isolated := false
		f.loop.Do(func(time.Duration) { isolated = f.core.Isolated() })
		if !f.ready.Load() || isolated {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		// A failed write means that the check has hung up; it asks again.
		_, _ = io.WriteString(w, "ready\n")
	})
}

const configPath = "/config"

// configuration serves the configuration in force to other balancers.
func (f *Front) configuration() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) {
		var t *rules.Table
		f.loop.Do(func(time.Duration) { t = f.core.Rules() })
		if t == nil {
			http.Error(w, "no configuration", http.StatusNotFound)
			return
		}
		b, err := t.Encode()
		if err != nil {
			f.log.WithError(err).Error("configuration not encoded")
			http.Error(w, "configuration not encoded", http.StatusInternalServerError)
			return
		}
		// A failed write means that the peer has hung up; it asks again.
		_, _ = w.Write(b)
	})
	return m
}
