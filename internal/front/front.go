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
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// minStopTime is the minimum time that a stopping balancer keeps serving. The
	// network fabric checks readiness twice a second and stops sending packets
	// after two failed checks.
	minStopTime = 1300 * time.Millisecond
	// quietStopTime is the time without a packet from a caller after which a
	// stopping balancer exits.
	quietStopTime = 400 * time.Millisecond
	// stopMargin is the time left between the end of a stop and the kill.
	stopMargin = time.Second
	// stopCheckInterval is the time between two checks whether a stopping balancer
	// may exit.
	stopCheckInterval = 50 * time.Millisecond
)

// Settings holds the addresses and time limits of a balancer.
type Settings struct {
	Name  string
	Place ident.PlaceName
	// Hop receives callers' packets, Ready serves readiness checks and Peer serves
	// other processes (messages over UDP, configurations over TCP).
	Hop, Ready, Peer netip.AddrPort
	// Bind is the local address of the sockets of Hop and Peer if the network
	// translates those addresses. If it is invalid, the sockets are bound to Hop
	// and Peer themselves.
	Bind netip.Addr
	// Metrics is the address of the metrics page; there is no page if it is invalid.
	Metrics netip.AddrPort
	// Seeds are the message addresses of balancers that may be running.
	Seeds []netip.AddrPort
	// FlowLifetime is the maximum lifetime of a flow.
	FlowLifetime time.Duration
	// ConfigLimit is the time within which a change of the configuration on the
	// platform must be in force.
	ConfigLimit time.Duration
	// StopLimit is the time between the signal to stop and the kill.
	StopLimit time.Duration
	// EvacuationLimit is the time within which the evacuation of a place on the platform
	// must be in force; 0 if places are not evacuated.
	EvacuationLimit time.Duration
	// RejectEarly makes the balancer reject requests that no upstream can serve in time.
	RejectEarly bool
}

// Balancer is a running balancer process: it connects a Core to the sockets,
// the platform, the logs and the metrics.
type Balancer struct {
	settings     Settings
	core         *Core
	loop         *node.Loop
	out          *node.Output
	log          *logrus.Entry
	store        *plat.Client
	http         *http.Client
	config       ConfigObject
	callerSocket *node.Socket
	peerSocket   *node.Socket
	metrics      *node.Metrics
	parts        *node.Parts
	// ready is set while the balancer has a configuration and is not stopping.
	ready, stopping              atomic.Bool
	configWatch, evacuationWatch *watcher
	// packets counts packets from callers; it is accessed only in the loop.
	packets uint64
}

// ConfigObject names the platform object that holds the operator's
// configuration and parses its value.
type ConfigObject struct {
	Name  string
	Parse func(value []byte) (*rules.Table, error)
}

// New creates a balancer and opens its sockets.
func New(s Settings, c flow.Codec, store *plat.Client, o ConfigObject, out *node.Output, log *logrus.Entry) (*Balancer, error) {
	b := &Balancer{
		settings: s,
		loop:     node.New(log),
		out:      out,
		log:      log,
		store:    store,
		config:   o,
		http:     &http.Client{Transport: node.Transport()},
	}
	b.parts = node.NewParts(b.loop, log)
	var err error
	if b.callerSocket, err = b.parts.Listen(node.Bound(s.Hop, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "packets")
	}
	if b.peerSocket, err = b.parts.Listen(node.Bound(s.Peer, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "messages")
	}
	b.core = NewCore(b.loop.Now(), CoreConfig{
		Name: s.Name, Instance: ident.NewInstance(), Place: s.Place, Hop: s.Hop, Peer: s.Peer,
		Seq: ident.Seq(time.Now().UnixMilli()), FlowLifetime: s.FlowLifetime, ConfigLimit: s.ConfigLimit, Seeds: s.Seeds,
		EvacuationLimit: s.EvacuationLimit, RejectEarly: s.RejectEarly,
	}, c)
	b.core.Log, b.core.Sample = log, out.Sample
	b.metrics = node.NewMetrics("balancer", b.collectMetrics)
	b.parts.Metrics = b.metrics
	b.core.RecordAnswerTime = b.metrics.Histogram("offerAnswerSeconds", "Time from the first offer of a flow to the answer of an agent.")
	b.core.ToAgent = b.peerSocket.Send
	port := s.Hop.Port()
	b.core.ToCaller = func(packet []byte, caller netip.Addr) { b.callerSocket.Send(packet, netip.AddrPortFrom(caller, port)) }
	b.configWatch = newWatcher(b, &b.core.confirmed, b.applyConfigs)
	b.core.InterruptWatch = b.configWatch.interrupt
	b.evacuationWatch = newWatcher(b, &b.core.evacuations.confirmed, b.applyEvacuations)
	b.core.InterruptEvacuationWatch = b.evacuationWatch.interrupt
	b.core.StoreEra, b.core.HearEra = store.Era, store.NoteEra
	b.core.FetchConfig = func(from netip.AddrPort) { go b.fetchNewer(from) }
	return b, nil
}

// Run serves until a signal to stop has been handled. It calls reload on a
// signal to reload and periodically.
func (b *Balancer) Run(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := b.parts.Serve(b.settings.Ready, b.readinessHandler()); err != nil {
		return err
	}
	if err := b.parts.Serve(b.settings.Peer, b.configHandler()); err != nil {
		return err
	}
	if err := b.parts.Serve(b.settings.Metrics, b.metrics.Handler()); err != nil {
		return err
	}
	b.core.OnAgentGone = func(agent view.Entry) {
		if b.core.removes(&agent) {
			go b.removeAgent(ctx, agent)
		}
	}
	b.loop.Attach(node.Ticker{Tick: b.core.Tick, Due: b.core.Due})
	b.parts.Spawn(func() { b.loop.Serve(b.callerSocket, b.handleCallerPacket) })
	b.parts.Spawn(func() { b.loop.Serve(b.peerSocket, b.core.FromAgent) })
	b.parts.Spawn(func() { b.configWatch.run(ctx) })
	if s := b.settings; s.EvacuationLimit > 0 {
		b.parts.Spawn(func() { b.evacuationWatch.run(ctx) })
	}
	b.parts.Spawn(func() { b.register(ctx) })
	b.parts.Spawn(func() { b.followEras(ctx) })
	b.log.WithFields(logrus.Fields{
		"event": "start", "place": b.settings.Place, "hop": b.settings.Hop, "peer": b.settings.Peer, "seeds": b.settings.Seeds,
	}).Info("balancer started")
	b.handleSignals(signals, reload)
	cancel()
	b.loop.Do(b.core.Stop)
	b.parts.Close()
	b.log.WithField("event", "stop").WithField("counts", fmt.Sprintf("%+v", b.core.Counts)).Info("balancer stopped")
	return nil
}

func (b *Balancer) handleCallerPacket(now time.Duration, packet []byte, _ netip.AddrPort) {
	b.packets++
	b.core.FromCaller(now, packet)
}

// handleSignals handles signals and returns when the balancer may exit.
func (b *Balancer) handleSignals(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) {
	var seen uint64
	c := node.Control{
		Signals: signals, Reload: reload, Check: stopCheckInterval, Log: b.log,
		Limits: drain.Limits{Minimum: minStopTime, Quiet: quietStopTime, Limit: max(minStopTime, b.settings.StopLimit-stopMargin)},
		Seeds:  func(seeds []netip.AddrPort) { b.loop.Do(func(time.Duration) { b.core.SetSeeds(seeds) }) },
		Leave: func() {
			b.stopping.Store(true)
			b.ready.Store(false)
		},
		Busy: func() (busy bool) {
			b.loop.Do(func(time.Duration) { busy, seen = b.packets != seen, b.packets })
			return busy
		},
	}
	c.Run()
}

// readinessHandler reports whether the balancer can serve callers' packets.
func (b *Balancer) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		isolated := false
		b.loop.Do(func(time.Duration) { isolated = b.core.Isolated() })
		if !b.ready.Load() || isolated {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		// A failed write means that the checker closed the connection; it will retry.
		_, _ = io.WriteString(w, "ready\n")
	})
}

const configPath = "/config"

// configHandler serves the configuration in force to other balancers.
func (b *Balancer) configHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET "+configPath, func(w http.ResponseWriter, _ *http.Request) {
		var t *rules.Table
		b.loop.Do(func(time.Duration) { t = b.core.Rules() })
		if t == nil {
			http.Error(w, "no configuration", http.StatusNotFound)
			return
		}
		body, err := t.Encode()
		if err != nil {
			b.log.WithError(err).Error("failed to encode configuration")
			http.Error(w, "configuration not encoded", http.StatusInternalServerError)
			return
		}
		// A failed write means that the peer closed the connection; it will retry.
		_, _ = w.Write(body)
	})
	return m
}
