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
	"github.com/bramleycourse/bramleycourse/internal/field"
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
	stopMargin = time.Second
	// drainCheckInterval is the time between two checks during a drain whether the
	// agent is still busy.
	drainCheckInterval = 20 * time.Millisecond
	// maxPendingListings bounds the changes of the entry that wait to be written
	// to the platform.
	maxPendingListings = 16
	// minRetry and maxRetry bound the time between attempts to write the entry.
	minRetry = 100 * time.Millisecond
	maxRetry = 2 * time.Second
	// eraSpread bounds the random delay with which an agent writes its entry again after
	// the store has come back from a copy.
	eraSpread = time.Second
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
	// EvacuationLimit, LearnRoom and RejectEarly are explained at CoreConfig.
	EvacuationLimit        time.Duration
	LearnRoom, RejectEarly bool
}

// Agent is a running agent.
type Agent struct {
	// Refused counts the reports and deregistrations that were refused.
	Refused field.Refusals

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
	// listings queues the changes of the agent's entry in the platform's list, which
	// maintainListing writes by listed.
	listings *ring.Ring[listing]
	listed   roster.Listing
	// listingPending is set until the last queued change has been written to the
	// platform's list.
	listingPending atomic.Bool
}

// New opens the sockets of an agent.
func New(s Settings, c flow.Codec, store *plat.Client, out *node.Output, log *logrus.Entry) (*Agent, error) {
	a := &Agent{
		settings: s, loop: node.New(log), out: out, log: log, store: store,
		listings: ring.New[listing](maxPendingListings), listed: roster.Listing{Store: store},
	}
	a.parts = node.NewParts(a.loop, log)
	var err error
	if a.hop, err = a.parts.Listen(node.Bound(s.Hop, s.Bind)); err != nil {
		return nil, errors.Annotatef(err, "open hop socket")
	}
	if a.outbound, err = a.parts.Listen(s.Outbound); err != nil {
		return nil, errors.Annotatef(err, "open outbound socket")
	}
	a.core = NewCore(a.loop.Now(), CoreConfig{
		Instance: ident.NewInstance(), Place: s.Place, Service: s.Service, Hop: s.Hop, Upstream: s.Upstream,
		Seq: ident.Seq(time.Now().UnixMilli()), StartedMillis: time.Now().UnixMilli(), ReportInterval: s.ReportInterval, FlowLifetime: s.FlowLifetime, Seeds: s.Seeds,
		EvacuationLimit: s.EvacuationLimit, LearnRoom: s.LearnRoom, RejectEarly: s.RejectEarly,
	}, c)
	a.core.Log, a.core.Sample = log, out.Sample
	a.metrics = node.NewMetrics("agent", a.collect)
	a.parts.Metrics = a.metrics
	a.core.RecordWait = a.metrics.Histogram("openingWaitSeconds", "Time that an opening packet waited before the upstream got it.")
	a.core.ToPeer = a.hop.Send
	a.core.ToUpstream = func(b []byte) { a.outbound.Send(b, s.Upstream) }
	a.core.ToCaller = func(b []byte, caller netip.Addr) { a.hop.Send(b, netip.AddrPortFrom(caller, s.CallerPort)) }
	a.core.FindBalancers = func() { go a.findBalancers() }
	a.core.CheckListed = func() { go a.checkListed() }
	a.core.StoreEra, a.core.HearEra = store.Era, store.NoteEra
	a.core.UpdateListing = func(service ident.ServiceName) {
		a.listingPending.Store(true)
		a.listings.Put(listing{service, a.core.registration.seq, a.core.registration.disputed})
	}
	return a, nil
}

// listing is a change of the agent's entry in the platform's list.
type listing struct {
	// service is the service to enter. If it is empty, the entry is removed.
	service ident.ServiceName
	// seq is the version of the last announcement. again is set if the agent counted as
	// gone, so that a removal of its entry may be under way.
	seq   ident.Seq
	again bool
}

// maintainListing writes queued changes of the agent's entry to the platform's list,
// retries failed writes, and repeats the last one when the store may have lost it.
func (a *Agent) maintainListing() {
	var (
		wanted listing
		// lost is closed when the store may have lost the last change; nil before that.
		lost <-chan struct{}
	)
	pending := false
	retry := minRetry
	for {
		a.listingPending.Store(pending || a.listings.Len() > 0)
		var again <-chan time.Time
		if pending {
			again = time.After(retry/2 + rand.N(retry))
			retry = min(2*retry, maxRetry)
		}
		select {
		case wanted = <-a.listings.Items():
			retry = minRetry
		case <-again:
		case <-lost:
			lost = nil
			pending, retry = true, eraSpread
			continue
		case <-a.parts.Done():
			return
		}
		lost = nil
		if pending = a.updateListing(wanted) != nil; !pending {
			lost, retry = a.listed.Outdated(), minRetry
		}
	}
}

func (a *Agent) updateListing(l listing) error {
	ctx, cancel := context.WithTimeout(a.parts.Context(), platformTimeout)
	defer cancel()
	if l.service == "" {
		return a.listed.Remove(ctx, a.settings.Hop)
	}
	e := roster.AgentEntry{Hop: a.settings.Hop, Service: l.service, Place: a.settings.Place}
	return a.listed.Write(ctx, e, l.seq, l.again)
}

func (a *Agent) findBalancers() {
	ctx, cancel := context.WithTimeout(a.parts.Context(), platformTimeout)
	defer cancel()
	addrs, err := roster.Balancers(ctx, a.store)
	if err != nil {
		return // The client logs the failure; the core asks again later.
	}
	a.loop.Do(func(time.Duration) {
		for _, addr := range addrs {
			a.core.AddBalancer(addr)
		}
	})
}

// Report handles a report of the upstream and reports whether it is acknowledged.
func (a *Agent) Report(r Report) (acknowledged bool) {
	a.loop.Do(func(now time.Duration) { acknowledged = a.core.OnReport(now, r) })
	return acknowledged
}

// UpstreamDeregistered handles the deregistration of an upstream and reports whether it
// is acknowledged.
func (a *Agent) UpstreamDeregistered(id string, startedMillis int64) (acknowledged bool) {
	a.loop.Do(func(now time.Duration) { acknowledged = a.core.OnDeregister(now, id, startedMillis) })
	return acknowledged
}

// Run serves until a signal to stop has been handled. The handler reports serves
// the upstream's reports. The function reload returns the seeds of the settings
// file and whether they have changed.
func (a *Agent) Run(signals <-chan os.Signal, reports http.Handler, reload func() ([]netip.AddrPort, bool)) error {
	for addr, handler := range map[netip.AddrPort]http.Handler{
		a.settings.Reports: reports, a.settings.Ready: ready, a.settings.Metrics: a.metrics.Handler(),
	} {
		if err := a.parts.Serve(addr, handler); err != nil {
			return err
		}
	}
	a.loop.Attach(node.Ticker{Tick: a.core.Tick, Due: a.core.Due})
	a.parts.Spawn(func() { a.loop.Serve(a.hop, a.core.FromPeer) })
	a.parts.Spawn(func() {
		a.loop.Serve(a.outbound, func(now time.Duration, b []byte, _ netip.AddrPort) { a.core.FromUpstream(now, b) })
	})
	a.parts.Spawn(a.maintainListing)
	go a.checkUpstream()
	a.log.WithFields(logrus.Fields{
		"event": "start", "place": a.settings.Place, "service": a.settings.Service, "hop": a.settings.Hop, "seeds": a.settings.Seeds,
	}).Info("agent started")
	a.control(signals, reload)
	a.loop.Do(a.core.Depart)
	a.parts.Close()
	a.log.WithField("event", "stop").WithField("counts", fmt.Sprintf("%+v", a.core.Counts)).Info("agent stopped")
	return nil
}

// dialTimeout bounds the connection attempt to the upstream at the start.
const dialTimeout = 500 * time.Millisecond

// checkUpstream checks whether anything listens at the upstream's address. An
// upstream that starts later sends a report by itself.
func (a *Agent) checkUpstream() {
	c, err := net.DialTimeout("tcp4", a.settings.Upstream.String(), dialTimeout)
	if err == nil {
		_ = c.Close()
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.loop.Do(a.core.NoUpstream)
	}
}

// checkListed checks whether the platform's list contains the agent.
func (a *Agent) checkListed() {
	ctx, cancel := context.WithTimeout(a.parts.Context(), platformTimeout)
	defer cancel()
	listed, err := roster.HasAgent(ctx, a.store, a.settings.Hop)
	if err != nil {
		return // The client logs the failure; the wait for a report decides.
	}
	if !listed {
		a.loop.Do(a.core.Unlisted)
	}
}

// ready answers readiness checks. A running agent is always ready; it announces to
// the balancers whether it takes new flows.
var ready = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
	// A failed write means that the client has closed the connection. It will retry.
	_, _ = io.WriteString(w, "ready\n")
})

// control handles signals until the agent may exit. If the upstream has
// deregistered, it waits for the removal of the entry from the platform's list.
func (a *Agent) control(signals <-chan os.Signal, reload func() ([]netip.AddrPort, bool)) {
	c := node.Control{
		Signals: signals, Reload: reload, Check: drainCheckInterval, Log: a.log,
		Limits: drain.Limits{Minimum: minDrainTime, Quiet: quietDrainTime, Limit: max(minDrainTime, a.settings.StopLimit-stopMargin)},
		Seeds:  func(seeds []netip.AddrPort) { a.loop.Do(func(time.Duration) { a.core.SetSeeds(seeds) }) },
		Leave:  func() { a.loop.Do(a.core.Leave) },
		Busy: func() (busy bool) {
			a.loop.Do(func(now time.Duration) {
				busy = a.core.Busy(now) > 0
				if a.core.Gone() {
					busy = a.listingPending.Load()
				}
			})
			return busy
		},
	}
	c.Run()
}
