package front

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

// watcher keeps one kind of objects up to date with the platform: the configuration or the
// evacuations.
type watcher struct {
	b *Balancer
	// confirmed is the core's record about the kind; used only in the loop.
	confirmed *confirmation
	kind      plat.Kind
	// apply handles the answer to a list call, which is complete, or to a watch call.
	apply func(l plat.List, complete bool)
	// cancel cancels the watch call in progress.
	cancel atomic.Pointer[context.CancelFunc]
	// wake ends the pause of a balancer that does not watch. It holds one signal.
	wake chan struct{}
}

func newWatcher(b *Balancer, c *confirmation, apply func(plat.List, bool)) *watcher {
	return &watcher{b: b, confirmed: c, kind: c.kind, apply: apply, wake: make(chan struct{}, 1)}
}

// run reads and watches the objects until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var since plat.Stamp
	read, retry, patient := false, minRetry, false
	for ctx.Err() == nil {
		if w.b.store.OverBudget() {
			sleep(ctx, overBudgetPause)
		}
		if read && !w.watching() {
			w.pause(ctx, watcherCheckInterval)
			continue
		}
		if since.Version > 0 && since.Era != w.b.store.Era() {
			// The store has come back from a copy, and what it held at since is not known.
			since = plat.Stamp{}
			sleep(ctx, rand.N(minRetry))
		}
		v, err := w.poll(ctx, since, patient)
		if err == nil {
			since, retry, patient = v, minRetry, false
			read = read || v.Version > 0
			continue
		}
		patient = !patient && w.overdue()
		var gone *plat.GoneError
		if errors.As(err, &gone) && since.Version > 0 {
			since = plat.Stamp{}
			continue
		}
		var missing *plat.NotFoundError
		if errors.As(err, &missing) && since.Version > 0 {
			// The store cannot watch a kind without objects; it is listed in place of that.
			since = plat.Stamp{}
			w.pause(ctx, w.wait())
			continue
		}
		if errors.Is(err, errInterrupted) {
			continue
		}
		sleep(ctx, retry/2+rand.N(retry))
		// A store that fails for a moment must not cost more time than one that answers.
		retry = min(2*retry, maxRetry, w.confirmed.interval)
	}
}

// errInterrupted is the result of a watch call that was ended by interrupt.
var errInterrupted = errors.New("watch call interrupted")

// interrupt ends the watch call that waits for a change, or the pause of a balancer that
// does not watch.
func (w *watcher) interrupt() {
	if interrupt := w.cancel.Swap(nil); interrupt != nil {
		(*interrupt)()
	}
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// pause sleeps until interrupt is called.
func (w *watcher) pause(ctx context.Context, d time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	select {
	case <-w.wake:
	case <-ctx.Done():
	}
}

// overdue reports whether an answer of the platform is overdue.
func (w *watcher) overdue() (overdue bool) {
	w.b.loop.Do(func(now time.Duration) { overdue = w.confirmed.overdue(now) })
	return overdue
}

// watching reports whether this balancer is to watch the objects.
func (w *watcher) watching() (watches bool) {
	w.b.loop.Do(func(now time.Duration) { watches = w.b.core.watches(now, w.confirmed) })
	return watches
}

// wait returns how long the next watch call is to wait.
func (w *watcher) wait() (wait time.Duration) {
	w.b.loop.Do(func(now time.Duration) { wait = w.b.core.watchWait(now, w.confirmed) })
	return wait
}

// poll reads the objects if the version of since is zero, and otherwise waits for a change;
// patiently if the last call has failed. It returns the version to continue from, which is
// the version of the list: an object's own version may be older than the store's history.
func (w *watcher) poll(ctx context.Context, since plat.Stamp, patient bool) (plat.Stamp, error) {
	var (
		l   plat.List
		err error
	)
	switch {
	case since.Version == 0:
		l, err = w.list(ctx)
	case patient:
		l, err = w.b.store.Watch(ctx, w.kind, since.Version, patientWait, plat.InEra(since.Era))
	default:
		l, err = w.watchOnce(ctx, since)
	}
	if err != nil {
		return since, err
	}
	w.apply(l, since.Version == 0)
	return plat.Stamp{Era: l.Era, Version: max(since.Version, l.Version)}, nil
}

// list reads all objects. The store may name no version if the kind has none. Then they are
// as of a version that was read before.
func (w *watcher) list(ctx context.Context) (plat.List, error) {
	l, err := w.b.store.List(ctx, w.kind)
	if err != nil || l.Version > 0 || w.kind == plat.KindConfig {
		return l, err
	}
	before, err := w.b.store.List(ctx, plat.KindConfig)
	if err != nil {
		return l, err
	}
	l, err = w.b.store.List(ctx, w.kind)
	if err == nil && l.Era != before.Era {
		return l, &plat.EraError{Expected: before.Era, Found: l.Era}
	}
	if l.Version = max(l.Version, before.Version); err == nil && l.Version == 0 {
		err = errors.Errorf("the platform names no version of %s objects", w.kind)
	}
	return l, err
}

// watchOnce waits for a change. The call is canceled when a configuration is read from a
// peer, because the watch has then missed it, and when an answer of the platform is
// overdue.
func (w *watcher) watchOnce(ctx context.Context, since plat.Stamp) (plat.List, error) {
	wait := w.wait()
	if wait == 0 {
		ctx, cancel := context.WithTimeout(ctx, overdueTimeout)
		defer cancel()
		return w.b.store.Watch(ctx, w.kind, since.Version, minWatchWait, plat.InEra(since.Era))
	}
	waiting, interrupt := context.WithTimeout(ctx, wait+watchSlack)
	defer interrupt()
	w.cancel.Store(&interrupt)
	l, err := w.b.store.Watch(waiting, w.kind, since.Version, wait, plat.InEra(since.Era))
	if err != nil && errors.Is(waiting.Err(), context.Canceled) && ctx.Err() == nil {
		err = errInterrupted
	}
	return l, err
}
