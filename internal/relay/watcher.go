package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

const (
	// longPollWait is how long a watch call waits for changes.
	longPollWait = 30 * time.Second
	// minBackoff and maxBackoff are the least and the greatest delay after a
	// failed step, before jitter.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// listInterval is the least time between two list calls for one kind.
	listInterval = time.Second
	// watchInterval is the least time between a watch answer with changes of
	// endpoints or balancers and the next watch call, so that one answer carries
	// all changes of a burst. Peer sessions carry these changes without delay.
	watchInterval = time.Second
	// relistInterval is the mean time between lists. It bounds how long changes
	// stay unseen that a restored store no longer reports. With three watches
	// each, 440 balancers cause about 4 lists per second in total.
	relistInterval = 5 * time.Minute
)

// watcher lists and watches the platform objects of one kind.
type watcher struct {
	client *plat.Client
	kind   plat.Kind
	// apply is called with the objects of each list and watch answer.
	apply func(l plat.List)
	// interval is the least delay after a watch answer with changes. Jitter of
	// up to half of it keeps the balancers from calling at the same time. Zero
	// means no delay.
	interval time.Duration

	// since is the version that the next watch starts from. At zero the store is
	// listed first, unless empty says that the last list found nothing.
	since      plat.Version
	empty      bool
	lastList   time.Time // time of the last list
	nextRelist time.Time // time of the next regular list
}

// run lists and watches until the context ends. Failed calls are retried with
// jittered exponential backoff.
func (w *watcher) run(ctx context.Context) error {
	backoff := minBackoff
	for ctx.Err() == nil {
		if w.step(ctx) == nil {
			backoff = minBackoff
			continue
		}
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

// step makes one call. After a failed watch the next one starts from the same
// version, so that an outage causes no lists. A version that the store does not
// know makes the next step a list.
func (w *watcher) step(ctx context.Context) error {
	if w.since == 0 && !w.empty || time.Now().After(w.nextRelist) {
		return w.list(ctx)
	}
	l, err := w.client.Watch(ctx, w.kind, w.since, longPollWait)
	var gone *plat.GoneError
	if errors.As(err, &gone) || err == nil && l.Version < w.since {
		w.since, w.empty = 0, false
		return nil
	}
	if err != nil {
		return err
	}
	w.since = l.Version
	w.apply(l)
	if w.interval > 0 && len(l.Objects) > 0 {
		sleep(ctx, w.interval+rand.N(w.interval/2))
	}
	return nil
}

func (w *watcher) list(ctx context.Context) error {
	if wait := listInterval - time.Since(w.lastList); wait > 0 {
		sleep(ctx, wait)
	}
	w.lastList = time.Now()
	l, err := w.client.List(ctx, w.kind)
	if err != nil {
		return err
	}
	w.since, w.empty = l.Version, l.Version == 0
	w.nextRelist = time.Now().Add(relistInterval/2 + rand.N(relistInterval))
	w.apply(l)
	return nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
