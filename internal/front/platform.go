package front

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/roster"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// meanWatchInterval is the mean time between two watch calls of all watchers
	// together. A watch may stop delivering changes while its connection stays
	// open; the next call of any balancer then finds the change, and the other
	// balancers learn of it from that one.
	meanWatchInterval = 800 * time.Millisecond
	// maxWatchWait is the upper bound for the mean wait of a watch call. Shorter
	// waits cost more platform calls.
	maxWatchWait = 12 * time.Second
	// minWatchWait is the wait of a watch call that is to return at once, and
	// overdueTimeout the time after which such a call times out. If one has failed, the
	// next one waits for patientWait and cannot be interrupted: the platform may be slow.
	minWatchWait   = time.Millisecond
	overdueTimeout = 700 * time.Millisecond
	patientWait    = 2 * time.Second
	// watchSlack is the time beyond the requested wait after which a watch call times
	// out.
	watchSlack = 300 * time.Millisecond
	// minRetry and maxRetry bound the delay between retries of platform calls.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// overBudgetPause is the delay before a watch call while the balancer's calls
	// exceed the budget because they bring nothing new. Meanwhile other balancers
	// watch, and this one learns of changes from them.
	overBudgetPause = time.Second
	// fetchTimeout limits reading a peer's configuration, and one try to remove an
	// agent's entry from the platform.
	fetchTimeout = 2 * time.Second
	// announcedTimeout limits reading an announced configuration from the platform. A
	// platform that is slower is left for the balancer that has announced it.
	announcedTimeout = 700 * time.Millisecond
	// maxConfigSize limits a peer's configuration in bytes. 1,400 routes of 200 bytes
	// fit with room to spare.
	maxConfigSize = 4 << 20
	// noPeersDelay is how long a balancer waits for other balancers after its start
	// before it reads the platform's list of them.
	noPeersDelay = 1500 * time.Millisecond
	// noPeersInterval is the time between two reads of that list while no other
	// balancer is known.
	noPeersInterval = 10 * time.Second
)

// applyConfigs handles an answer of the platform about the configuration to a watcher.
func (b *Balancer) applyConfigs(l plat.List, _ bool) {
	before := b.Generation()
	b.applyList(l, platformSource)
	if b.Generation() > before || b.configWatch.watching() {
		b.loop.Do(func(time.Duration) { b.core.AnnounceGeneration() })
	}
}

// applyList puts the configuration in a list in force.
func (b *Balancer) applyList(l plat.List, source string) {
	b.loop.Do(b.core.NoteConfirmed)
	for _, o := range l.Objects {
		if o.Name == b.config.Name && !o.Deleted {
			b.applyObject(o, source)
		}
	}
}

// applyEvacuations handles an answer of the platform about evacuations.
func (b *Balancer) applyEvacuations(l plat.List, complete bool) {
	b.loop.Do(func(now time.Duration) { b.core.NoteEvacuations(now, l, complete) })
}

// applyObject puts the operator's configuration in force. If it cannot be
// parsed, the current configuration stays in force.
func (b *Balancer) applyObject(o plat.Object, source string) {
	t, err := b.config.Parse(o.Value)
	if err != nil {
		b.store.Refused.Note(err)
		b.log.WithError(err).WithFields(logrus.Fields{"event": "badConfiguration", "version": o.Version}).Error("invalid configuration ignored")
		return
	}
	b.applyConfig(t, source)
}

const (
	// platformSource is the source of a configuration that a watch of the platform
	// has found, announcedSource of one that was read after an announcement. Only a
	// watch announces what it found; the balancer that has announced the others did so
	// to all.
	platformSource  = "platform"
	announcedSource = "platform, announced"
)

// applyConfig puts a configuration in force.
func (b *Balancer) applyConfig(t *rules.Table, source string) {
	b.loop.Do(func(time.Duration) { b.core.SetRules(t, source) })
	b.ready.CompareAndSwap(false, !b.stopping.Load())
}

// fetchNewer reads a newer configuration after an announcement. A balancer that does not
// watch reads it from the platform, because a large configuration that all of them read
// from one watcher would fill the link of its VM. If that brings nothing newer, the
// balancer that has announced it is asked.
func (b *Balancer) fetchNewer(from netip.AddrPort) {
	before := b.Generation()
	if !b.configWatch.watching() {
		ctx, cancel := context.WithTimeout(context.Background(), announcedTimeout)
		defer cancel()
		// The client logs when calls begin to fail.
		if l, err := b.store.List(ctx, plat.KindConfig); err == nil {
			b.applyList(l, announcedSource)
			if b.Generation() > before {
				return
			}
		}
	}
	b.fetchFromPeer(from)
}

// Generation returns the generation of the configuration in force.
func (b *Balancer) Generation() (g ident.Generation) {
	b.loop.Do(func(time.Duration) { g = b.core.Rules().Generation() })
	return g
}

// fetchFromPeer reads the configuration of another balancer and applies it.
func (b *Balancer) fetchFromPeer(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	t, err := b.readPeerConfig(ctx, from)
	if err != nil {
		b.log.WithError(err).WithFields(logrus.Fields{"event": "peerFailed", "peer": from}).Warn("failed to read configuration from a peer")
		return
	}
	b.applyConfig(t, from.String())
	b.configWatch.interrupt()
}

func (b *Balancer) readPeerConfig(ctx context.Context, from netip.AddrPort) (*rules.Table, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := b.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigSize))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer answered with status %d", resp.StatusCode)
	}
	return rules.Parse(body)
}

// register reads the platform's list of agents and writes the balancer's address
// to the platform, for agents and balancers that reach no other process through
// their seeds. It then reads the list of balancers whenever none is known.
func (b *Balancer) register(ctx context.Context) {
	b.retryCall(ctx, b.loadAgents)
	entered := make(chan struct{})
	go b.enter(ctx, func() { close(entered) })
	select {
	case <-entered:
	case <-ctx.Done():
	}
	sleep(ctx, noPeersDelay)
	for ctx.Err() == nil {
		n := 0
		b.loop.Do(func(time.Duration) { n = len(b.core.Peers()) })
		if n == 0 {
			b.findPeers(ctx)
		}
		sleep(ctx, noPeersInterval)
	}
}

// retryCall repeats a call until it succeeds or ctx ends.
func (b *Balancer) retryCall(ctx context.Context, call func(context.Context) error) {
	for retry := minRetry; ctx.Err() == nil; retry = min(2*retry, maxRetry) {
		if call(ctx) == nil {
			return // The client logs when calls begin to fail.
		}
		sleep(ctx, retry/2+rand.N(retry))
	}
}

func (b *Balancer) loadAgents(ctx context.Context) error {
	agents, err := roster.Agents(ctx, b.store)
	if err != nil {
		return err
	}
	b.loop.Do(func(now time.Duration) { b.core.AddListedAgents(now, agents) })
	return nil
}

func (b *Balancer) findPeers(ctx context.Context) {
	as, err := roster.Balancers(ctx, b.store)
	if err != nil {
		return // The client logs that calls fail; register calls findPeers again later.
	}
	b.loop.Do(func(now time.Duration) {
		for _, a := range as {
			b.core.ContactPeer(now, a)
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
