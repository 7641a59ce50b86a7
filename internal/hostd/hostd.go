package hostd

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/ring"
	"github.com/bramleycourse/bramleycourse/internal/roster"
)

const (
	// minStop lets the word of the stop, which is repeated every 100 ms, reach the
	// balancers.
	minStop = 320 * time.Millisecond
	// quietStop is the time without a request in progress after which a stop ends.
	quietStop = 100 * time.Millisecond
	// stopMargin is kept between the end of a stop and the kill.
	stopMargin = time.Second
	stopCheck  = 20 * time.Millisecond
	// maxListings bounds the changes of the entry that wait for the platform.
	maxListings = 16
	// minRetry and maxRetry bound the time between attempts to write it.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// findTimeout bounds a look at the platform's list of balancers.
	findTimeout = 3 * time.Second
)

// Settings are the settings of an agent.
type Settings struct {
	Name    string
	Place   ident.PlaceName
	Service ident.ServiceName
	// Hop is the address for other processes, Outbound the one that the upstream
	// sends to, Upstream the upstream's own, Reports the one for its reports.
	Hop, Outbound, Upstream, Reports, Ready netip.AddrPort
	// Bind is the address that the socket of Hop is bound to, where that one is
	// translated on the way; not valid for its own.
	Bind netip.Addr
	// Metrics is the address of the metrics page; none if it is not valid.
	Metrics netip.AddrPort
	// CallerPort is the port of every caller's VM for packets.
	CallerPort   uint16
	Seeds        []netip.AddrPort
	FlowLifetime time.Duration
	// ReportInterval is how often the upstream reports.
	ReportInterval time.Duration
	// StopLimit is the time between the signal to stop and the kill.
	StopLimit time.Duration
}

// Host is a running agent.
type Host struct {
	settings Settings
	core     *Core
	loop     *node.Loop
	out      *node.Output
	log      *logrus.Entry
	hop      *node.Socket
	outbound *node.Socket
	store    *plat.Client
	metrics  *node.Metrics
	parts    *node.Parts
	// listing takes the service of the entry in the platform's list; empty for none.
	listing *ring.Ring[ident.ServiceName]
	// unlisted is set while the platform's list does not hold what was last wanted.
	unlisted atomic.Bool
}

// New opens the sockets of an agent.
func New(s Settings, c flow.Codec, store *plat.Client, out *node.Output, log *logrus.Entry) (*Host, error) {
	h := &Host{
		settings: s, loop: node.New(log), out: out, log: log, store: store,
		listing: ring.New[ident.ServiceName](maxListings),
	}
	h.parts = node.NewParts(h.loop, log)
	var err error
	if h.hop, err = h.parts.Listen(node.Bound(s.Hop, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "packets")
	}
	if h.outbound, err = h.parts.Listen(s.Outbound); err != nil {
		return nil, errors.Annotatef(err, "packets of the upstream")
	}
	h.core = NewCore(h.loop.Now(), Self{
		Instance: ident.NewInstance(), Place: s.Place, Service: s.Service, Hop: s.Hop, Upstream: s.Upstream,
		Seq: ident.Seq(time.Now().UnixMilli()), StartedMillis: time.Now().UnixMilli(), ReportInterval: s.ReportInterval, FlowLifetime: s.FlowLifetime, Seeds: s.Seeds,
	}, c)
	h.core.Log, h.core.Sample = log, out.Sample
	h.metrics = node.NewMetrics("agent", h.collect)
	h.parts.Metrics = h.metrics
	h.core.Wait = h.metrics.Histogram("openingWait")
	h.core.ToPeer = h.hop.Send
	h.core.ToUpstream = func(b []byte) { h.outbound.Send(b, s.Upstream) }
	h.core.ToCaller = func(b []byte, caller netip.Addr) { h.hop.Send(b, netip.AddrPortFrom(caller, s.CallerPort)) }
	h.core.FindBalancers = func() { go h.find() }
	h.core.CheckListed = func() { go h.checkListed() }
	h.core.Enlist = func(service ident.ServiceName) {
		h.unlisted.Store(true)
		h.listing.Put(service)
	}
	return h, nil
}

// enlist keeps the agent's entry in the platform's list as the core wants it.
func (h *Host) enlist() {
	var wanted ident.ServiceName
	pending := false
	retry := minRetry
	for {
		h.unlisted.Store(pending || h.listing.Len() > 0)
		var again <-chan time.Time
		if pending {
			again = time.After(retry/2 + rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
		select {
		case wanted = <-h.listing.Items():
			retry = minRetry
		case <-again:
		case <-h.parts.Done():
			return
		}
		pending = h.list(wanted) != nil
	}
}

func (h *Host) list(service ident.ServiceName) error {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	if service == "" {
		return roster.RemoveAgent(ctx, h.store, h.settings.Hop)
	}
	return roster.AddAgent(ctx, h.store, roster.Agent{Hop: h.settings.Hop, Service: service, Place: h.settings.Place})
}

func (h *Host) find() {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	as, err := roster.Balancers(ctx, h.store)
	if err != nil {
		return // The client logs that calls fail; the next look comes later.
	}
	h.loop.Do(func(time.Duration) {
		for _, a := range as {
			h.core.AddBalancer(a)
		}
	})
}

// Beat takes a report of the upstream.
func (h *Host) Beat(b Beat) { h.loop.Do(func(now time.Duration) { h.core.OnBeat(now, b) }) }

// UpstreamLeft takes the last word of an upstream.
func (h *Host) UpstreamLeft(id string, born int64) {
	h.loop.Do(func(now time.Duration) { h.core.OnLeave(now, id, born) })
}

// Run serves until a signal to stop has been handled. Reports serves the
// upstream's reports, reload returns the seeds of a changed settings file.
func (h *Host) Run(signals <-chan os.Signal, reports http.Handler, reload func() ([]netip.AddrPort, bool)) error {
	for a, handler := range map[netip.AddrPort]http.Handler{
		h.settings.Reports: reports, h.settings.Ready: ready, h.settings.Metrics: h.metrics.Handler(),
	} {
		if err := h.parts.Serve(a, handler); err != nil {
			return err
		}
	}
	h.loop.Attach(node.Ticker{Tick: h.core.Tick, Due: h.core.Due})
	h.parts.Spawn(func() { h.loop.Serve(h.hop, h.core.FromPeer) })
	h.parts.Spawn(func() {
		h.loop.Serve(h.outbound, func(now time.Duration, b []byte, _ netip.AddrPort) { h.core.FromUpstream(now, b) })
	})
	h.parts.Spawn(h.enlist)
	go h.checkUpstream()
	h.log.WithFields(logrus.Fields{
		"event": "start", "place": h.settings.Place, "service": h.settings.Service, "hop": h.settings.Hop, "seeds": h.settings.Seeds,
	}).Info("agent started")
	h.control(signals, reload)
	h.parts.Close()
	h.log.WithField("event", "stop").WithField("counts", fmt.Sprintf("%+v", h.core.Counts)).Info("agent stopped")
	return nil
}

// checkTimeout bounds the look for an upstream at the start.
const checkTimeout = 500 * time.Millisecond

// checkUpstream finds out whether anything listens at the upstream's address. An
// upstream that starts later reports itself.
func (h *Host) checkUpstream() {
	c, err := net.DialTimeout("tcp4", h.settings.Upstream.String(), checkTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.loop.Do(h.core.NoUpstream)
	}
}

// checkListed finds out whether the platform's list has the agent.
func (h *Host) checkListed() {
	ctx, cancel := context.WithTimeout(context.Background(), findTimeout)
	defer cancel()
	listed, err := roster.HasAgent(ctx, h.store, h.settings.Hop)
	if err != nil {
		return // The client logs that calls fail; the wait for a report decides.
	}
	if !listed {
		h.loop.Do(h.core.Unlisted)
	}
}

// ready answers readiness checks: an agent that runs is ready, and says itself
// whether it takes new flows.
var ready = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	// A failed write means that the check has hung up; it asks again.
	_, _ = io.WriteString(w, "ready\n")
})

// collect updates the metrics.
func (h *Host) collect(m *node.Metrics) {
	var c Counts
	h.loop.Do(func(now time.Duration) {
		c = h.core.Counts
		l := h.core.Load(now)
		m.Counter("sendFailures", h.hop.Failed+h.outbound.Failed)
		m.Gauge("flows", float64(h.core.table.Len()))
		m.Gauge("busy", float64(l.Busy))
		m.Gauge("waiting", float64(h.core.waiting.Len()))
		m.Gauge("slots", l.Slots)
		m.Gauge("brokenShare", h.core.outcomes.share)
		m.Gauge("depth", float64(l.Depth()))
		m.Gauge("workSeconds", h.core.table.Work().Seconds())
		m.Gauge("balancersKnown", float64(len(h.core.registration.known)))
		m.Gauge("reportAgeSeconds", (now - h.core.upstream.beatAt).Seconds())
	})
	m.Counters(c)
	m.Shared(h.store, h.out)
}

// control handles signals until the agent may end. The entry of an upstream that
// has left is removed from the platform's list first.
func (h *Host) control(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) {
	c := node.Control{
		Signals: signals, Reload: reload, Check: stopCheck, Log: h.log,
		Limits: drain.Limits{Minimum: minStop, Quiet: quietStop, Limit: max(minStop, h.settings.StopLimit-stopMargin)},
		Seeds:  func(seeds []netip.AddrPort) { h.loop.Do(func(time.Duration) { h.core.SetSeeds(seeds) }) },
		Leave:  func() { h.loop.Do(h.core.Leave) },
		Busy: func() (busy bool) {
			h.loop.Do(func(now time.Duration) {
				busy = h.core.Busy(now) > 0
				if h.core.Gone() {
					busy = h.unlisted.Load()
				}
			})
			return busy
		},
	}
	c.Run()
}
