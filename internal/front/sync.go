package front

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/rules"
)

const (
	// watchWait is how long one watch call waits for a change. Each call has its
	// price; peers and keep-alive probes find out about a watch that went silent.
	watchWait = 15 * time.Second
	// minRetry and maxRetry bound the time between attempts while the platform fails.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// fetchTimeout bounds the read of a peer's configuration.
	fetchTimeout = 2 * time.Second
	// maxConfig bounds a peer's configuration: 1,400 routes of 200 octets and room.
	maxConfig = 4 << 20
	// alone is after what time without another balancer the platform's list is read.
	alone = 1500 * time.Millisecond
	// aloneInterval is the time between such reads.
	aloneInterval = 10 * time.Second
)

// watch keeps the configuration as new as the platform's.
func (f *Front) watch(ctx context.Context) {
	var since plat.Version
	retry := minRetry
	for ctx.Err() == nil {
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
// returns the version to continue from.
func (f *Front) poll(ctx context.Context, since plat.Version) (plat.Version, error) {
	if since == 0 {
		o, err := f.store.Get(ctx, plat.KindConfig, f.config.Name)
		if err != nil {
			return 0, err
		}
		f.take(o)
		return o.Version, nil
	}
	l, err := f.store.Watch(ctx, plat.KindConfig, since, watchWait)
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
	f.loop.Do(func(time.Duration) { f.core.SetRules(t, source) })
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

// balancerObject is a balancer's entry in the platform's list.
type balancerObject struct {
	Peer netip.AddrPort `json:"peer"`
}

// register writes the balancer's address to the platform, where agents and
// balancers look that no seed leads to another process, and reads the others'
// while no other balancer is known.
func (f *Front) register(ctx context.Context) {
	retry := minRetry
	for ctx.Err() == nil {
		if err := f.writeSelf(ctx); err == nil {
			break
		}
		sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, maxRetry)
	}
	sleep(ctx, alone)
	for ctx.Err() == nil {
		n := 0
		f.loop.Do(func(time.Duration) { n = len(f.core.Peers()) })
		if n == 0 {
			f.findPeers(ctx)
		}
		sleep(ctx, aloneInterval)
	}
}

func (f *Front) writeSelf(ctx context.Context) error {
	own := balancerObject{f.settings.Peer}
	_, err := f.store.Put(ctx, plat.KindBalancer, f.settings.Name, own, 0)
	var conflict *plat.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	// An earlier run wrote the object, usually with the same address.
	o, err := f.store.Get(ctx, plat.KindBalancer, f.settings.Name)
	if err != nil {
		return err
	}
	var held balancerObject
	if json.Unmarshal(o.Value, &held) == nil && held == own {
		return nil
	}
	_, err = f.store.Put(ctx, plat.KindBalancer, f.settings.Name, own, o.Version)
	return err
}

func (f *Front) findPeers(ctx context.Context) {
	as, err := ListBalancers(ctx, f.store)
	if err != nil {
		return // The client logs that calls fail; the next look comes later.
	}
	f.loop.Do(func(now time.Duration) {
		for _, a := range as {
			f.core.AddPeer(now, a)
		}
	})
}

// ListBalancers reads the addresses of balancers from the platform. Some of
// them may have ended.
func ListBalancers(ctx context.Context, store *plat.Client) ([]netip.AddrPort, error) {
	l, err := store.List(ctx, plat.KindBalancer)
	if err != nil {
		return nil, err
	}
	var as []netip.AddrPort
	for _, o := range l.Objects {
		var b balancerObject
		// An entry that cannot be read names no balancer; the others hold.
		if json.Unmarshal(o.Value, &b) == nil && b.Peer.Addr().Is4() {
			as = append(as, b.Peer)
		}
	}
	return as, nil
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
