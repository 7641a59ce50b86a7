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

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/roster"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// watchShare is the mean time between two watch calls of all balancers
	// together. A watch may go silent while its connection lives; the next call
	// of any balancer then finds the change, and its peers learn from it.
	watchShare = 800 * time.Millisecond
	// maxWatchWait is the longest that one watch call waits for a change. Each
	// call has its price.
	maxWatchWait = 12 * time.Second
	// watchSlack is how much later than asked for a watch call may be answered.
	watchSlack = 300 * time.Millisecond
	// minRetry and maxRetry bound the time between attempts while the platform fails.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// overBudgetPause slows a balancer down whose calls bring nothing new. Others
	// watch meanwhile, and it learns from them.
	overBudgetPause = time.Second
	// fetchTimeout bounds the read of a peer's configuration.
	fetchTimeout = 2 * time.Second
	// maxConfig bounds a peer's configuration: 1,400 routes of 200 octets and room.
	maxConfig = 4 << 20
	// noPeersDelay is after what time without another balancer the platform's list is read.
	noPeersDelay = 1500 * time.Millisecond
	// noPeersInterval is the time between such reads.
	noPeersInterval = 10 * time.Second
)

// watch keeps the configuration as new as the platform's.
func (f *Front) watch(ctx context.Context) {
	var since plat.Version
	retry := minRetry
	for ctx.Err() == nil {
		if f.store.OverBudget() {
			sleep(ctx, overBudgetPause)
		}
		v, err := f.poll(ctx, since)
		if err == nil {
			since, retry = v, minRetry
			continue
		}
		var gone *plat.GoneError
		if errors.As(err, &gone) {
			since = 0
		}
		sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
}

// poll reads the configuration if since is zero, or else waits for a change. It
// returns the version to continue from. That is the one of the list, not of the
// configuration: a configuration may be older than the store's history.
func (f *Front) poll(ctx context.Context, since plat.Version) (plat.Version, error) {
	var (
		l   plat.List
		err error
	)
	if since == 0 {
		l, err = f.store.List(ctx, plat.KindConfig)
	} else {
		l, err = f.watchOnce(ctx, since)
	}
	if err != nil {
		return 0, err
	}
	for _, o := range l.Objects {
		if o.Name == f.config.Name && !o.Deleted {
			f.take(o)
		}
	}
	return max(since, l.Version), nil
}

// watchOnce waits for a change, or until a peer has a newer configuration: then
// the watch has missed it.
func (f *Front) watchOnce(ctx context.Context, since plat.Version) (plat.List, error) {
	var balancers int
	f.loop.Do(func(time.Duration) { balancers = 1 + len(f.core.Peers()) })
	wait := min(time.Duration(balancers)*watchShare, maxWatchWait)
	// The calls of the balancers spread over time.
	wait = wait/2 + rand.N(wait)
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	f.cancelWatch.Store(&cancel)
	return f.store.Watch(ctx, plat.KindConfig, since, wait)
}

// take puts the operator's configuration in force. One that cannot be read
// leaves the present one in force.
func (f *Front) take(o plat.Object) {
	t, err := f.config.Parse(o.Value)
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"event": "badConfiguration", "version": o.Version}).Error("configuration ignored")
		return
	}
	f.adopt(t, "platform")
}

func (f *Front) adopt(t *rules.Table, source string) {
	f.loop.Do(func(time.Duration) {
		if f.core.SetRules(t, source) {
			f.core.TellGeneration()
		}
	})
	f.ready.CompareAndSwap(false, !f.stopping.Load())
}

// fetch reads the configuration of another balancer.
func (f *Front) fetch(from netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	t, err := f.readPeer(ctx, from)
	if err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"event": "peerFailed", "peer": from}).Warn("configuration of a peer not read")
		return
	}
	f.adopt(t, from.String())
	if cancel := f.cancelWatch.Load(); cancel != nil {
		(*cancel)()
	}
}

func (f *Front) readPeer(ctx context.Context, from netip.AddrPort) (*rules.Table, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+from.String()+configPath, nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	resp, err := f.http.Do(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxConfig))
	if err != nil {
		return nil, errors.Trace(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("peer answered with status %d", resp.StatusCode)
	}
	return rules.Parse(b)
}

// register writes the balancer's address to the platform, where agents and
// balancers look that no seed leads to another process, and reads the agents'.
// It reads the other balancers' while none is known.
func (f *Front) register(ctx context.Context) {
	f.retry(ctx, f.findAgents)
	f.retry(ctx, func(ctx context.Context) error {
		return f.store.Ensure(ctx, plat.KindBalancer, f.settings.Name, roster.Balancer{Peer: f.settings.Peer})
	})
	sleep(ctx, noPeersDelay)
	for ctx.Err() == nil {
		n := 0
		f.loop.Do(func(time.Duration) { n = len(f.core.Peers()) })
		if n == 0 {
			f.findPeers(ctx)
		}
		sleep(ctx, noPeersInterval)
	}
}

// retry repeats a call until it succeeds.
func (f *Front) retry(ctx context.Context, call func(context.Context) error) {
	for retry := minRetry; ctx.Err() == nil; retry = min(2*retry, maxRetry) {
		if call(ctx) == nil {
			return // The client logs when calls begin to fail.
		}
		sleep(ctx, retry/2+rand.N(retry))
	}
}

func (f *Front) findAgents(ctx context.Context) error {
	agents, err := roster.Agents(ctx, f.store)
	if err != nil {
		return err
	}
	f.loop.Do(func(now time.Duration) { f.core.Listed(now, agents) })
	return nil
}

func (f *Front) findPeers(ctx context.Context) {
	as, err := roster.Balancers(ctx, f.store)
	if err != nil {
		return // The client logs that calls fail; the next look comes later.
	}
	f.loop.Do(func(now time.Duration) {
		for _, a := range as {
			f.core.AddPeer(now, a)
		}
	})
}

// removeAgent removes the entry of an agent that is gone for good. One balancer does
// so; the others know the same balancers.
func (f *Front) removeAgent(agent netip.AddrPort) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	if err := roster.RemoveAgent(ctx, f.store, agent); err != nil {
		f.log.WithError(err).WithFields(logrus.Fields{"event": "removeFailed", "agent": agent}).Warn("entry of an agent not removed")
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
