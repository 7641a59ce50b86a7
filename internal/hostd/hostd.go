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
	// minDrainTime is the minimum duration of a drain. The announcement is repeated
	// every 100 ms during that time, so that it reaches the balancers.
	minDrainTime = 320 * time.Millisecond
	// quietDrainTime is the time without a request in progress after which a drain
	// ends.
	quietDrainTime = 100 * time.Millisecond
	// stopMargin is the time kept between the end of a drain and the kill.
	stopMargin         = time.Second
	drainCheckInterval = 20 * time.Millisecond
	// maxPendingListings bounds the changes of the entry that wait to be written
	// to the platform.
	maxPendingListings = 16
	// minRetry and maxRetry bound the time between attempts to write the entry.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// platformTimeout bounds a read or write of the platform's lists.
	platformTimeout = 3 * time.Second
)

// Settings holds the settings of an agent.
type Settings struct {
	Name    string
	Place   ident.PlaceName
	Service ident.ServiceName
	// Hop receives datagrams of other processes, Outbound receives packets of the
	// upstream, and Reports receives its reports. Upstream is the address of the
	// upstream itself. Ready serves readiness checks.
	Hop, Outbound, Upstream, Reports, Ready netip.AddrPort
	// Bind is the local address to bind if the network translates Hop to another
	// address. If it is not valid, the socket is bound to Hop itself.
	Bind netip.Addr
	// Metrics is the address of the metrics page. If it is not valid, there is no page.
	Metrics netip.AddrPort
	// CallerPort is the port at which the VMs of all callers receive packets.
	CallerPort   uint16
	Seeds        []netip.AddrPort
	FlowLifetime time.Duration
	// ReportInterval is the time between two reports of the upstream.
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
	// listings queues the services to enter in the platform's list. An empty
	// service removes the entry.
	listings *ring.Ring[ident.ServiceName]
	// listingPending is set until the last queued change has been written to the
	// platform's list.
	listingPending atomic.Bool
}

// New opens the sockets of an agent.
func New(s Settings, c flow.Codec, store *plat.Client, out *node.Output, log *logrus.Entry) (*Host, error) {
	h := &Host{
		settings: s, loop: node.New(log), out: out, log: log, store: store,
		listings: ring.New[ident.ServiceName](maxPendingListings),
	}
	h.parts = node.NewParts(h.loop, log)
	var err error
	if h.hop, err = h.parts.Listen(node.Bound(s.Hop, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "open hop socket")
	}
	if h.outbound, err = h.parts.Listen(s.Outbound); err != nil {
		return nil, errors.Annotatef(err, "open outbound socket")
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
	h.core.FindBalancers = func() { go h.findBalancers() }
	h.core.CheckListed = func() { go h.checkListed() }
	h.core.Enlist = func(service ident.ServiceName) {
		h.listingPending.Store(true)
		h.listings.Put(service)
	}
	return h, nil
}

// maintainListing writes queued changes of the agent's entry to the platform's list
// and retries failed writes.
func (h *Host) maintainListing() {
	var wanted ident.ServiceName
	pending := false
	retry := minRetry
	for {
		h.listingPending.Store(pending || h.listings.Len() > 0)
		var again <-chan time.Time
		if pending {
			again = time.After(retry/2 + rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
		select {
		case wanted = <-h.listings.Items():
			retry = minRetry
		case <-again:
		case <-h.parts.Done():
			return
		}
		pending = h.updateListing(wanted) != nil
	}
}

func (h *Host) updateListing(service ident.ServiceName) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	if service == "" {
		return roster.RemoveAgent(ctx, h.store, h.settings.Hop)
	}
	return roster.AddAgent(ctx, h.store, roster.Agent{Hop: h.settings.Hop, Service: service, Place: h.settings.Place})
}

func (h *Host) findBalancers() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	addrs, err := roster.Balancers(ctx, h.store)
	if err != nil {
		return // The client logs the failure; the core asks again later.
	}
	h.loop.Do(func(time.Duration) {
		for _, a := range addrs {
			h.core.AddBalancer(a)
		}
	})
}

// Beat handles a report of the upstream.
func (h *Host) Beat(b Beat) { h.loop.Do(func(now time.Duration) { h.core.OnBeat(now, b) }) }

// UpstreamLeft handles the deregistration of an upstream.
func (h *Host) UpstreamLeft(id string, born int64) {
	h.loop.Do(func(now time.Duration) { h.core.OnLeave(now, id, born) })
}

// Run serves until a signal to stop has been handled. The handler reports serves
// the upstream's reports. The function reload returns the seeds of the settings
// file and whether they have changed.
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
	h.parts.Spawn(h.maintainListing)
	go h.checkUpstream()
	h.log.WithFields(logrus.Fields{
		"event": "start", "place": h.settings.Place, "service": h.settings.Service, "hop": h.settings.Hop, "seeds": h.settings.Seeds,
	}).Info("agent started")
	h.control(signals, reload)
	h.parts.Close()
	h.log.WithField("event", "stop").WithField("counts", fmt.Sprintf("%+v", h.core.Counts)).Info("agent stopped")
	return nil
}

// dialTimeout bounds the connection attempt to the upstream at the start.
const dialTimeout = 500 * time.Millisecond

// checkUpstream checks whether anything listens at the upstream's address. An
// upstream that starts later sends a report by itself.
func (h *Host) checkUpstream() {
	c, err := net.DialTimeout("tcp4", h.settings.Upstream.String(), dialTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		h.loop.Do(h.core.NoUpstream)
	}
}

// checkListed checks whether the platform's list contains the agent.
func (h *Host) checkListed() {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	listed, err := roster.HasAgent(ctx, h.store, h.settings.Hop)
	if err != nil {
		return // The client logs the failure; the wait for a report decides.
	}
	if !listed {
		h.loop.Do(h.core.Unlisted)
	}
}

// ready answers readiness checks. A running agent is always ready; it announces to
// the balancers whether it takes new flows.
var ready = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	// A failed write means that the client has closed the connection. It will retry.
	_, _ = io.WriteString(w, "ready\n")
})

// collect sets the metrics to the present values.
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
		m.Gauge("brokenShare", h.core.outcomes.failureShare)
		m.Gauge("depth", float64(l.Depth()))
		m.Gauge("workSeconds", h.core.table.Work().Seconds())
		m.Gauge("balancersKnown", float64(len(h.core.registration.balancers)))
		m.Gauge("reportAgeSeconds", (now - h.core.upstream.reportAt).Seconds())
	})
	m.Counters(c)
	m.Shared(h.store, h.out)
}

// control handles signals until the agent may exit. If the upstream has
// deregistered, it waits for the removal of the entry from the platform's list.
func (h *Host) control(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) {
	c := node.Control{
		Signals: signals, Reload: reload, Check: drainCheckInterval, Log: h.log,
		Limits: drain.Limits{Minimum: minDrainTime, Quiet: quietDrainTime, Limit: max(minDrainTime, h.settings.StopLimit-stopMargin)},
		Seeds:  func(seeds []netip.AddrPort) { h.loop.Do(func(time.Duration) { h.core.SetSeeds(seeds) }) },
		Leave:  func() { h.loop.Do(h.core.Leave) },
		Busy: func() (busy bool) {
			h.loop.Do(func(now time.Duration) {
				busy = h.core.Busy(now) > 0
				if h.core.Gone() {
					busy = h.listingPending.Load()
				}
			})
			return busy
		},
	}
	c.Run()
}
