package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
)

const (
	watchWait = 30 * time.Second
	minRetry  = 200 * time.Millisecond
	maxRetry  = 5 * time.Second
	// listInterval is the least time between two lists of one kind.
	listInterval = time.Second
	// relistInterval bounds how long changes stay unseen that a restored store
	// no longer reports; 440 balancers then cause 4 lists a second in all.
	relistInterval = 5 * time.Minute
)

// follower keeps up with the objects of one kind.
type follower struct {
	client *plat.Client
	kind   plat.Kind
	// apply receives the objects of a list or of a watch answer.
	apply func(l plat.List)

	since  plat.Version
	listed time.Time
	relist time.Time
}

// run lists and watches until the context ends.
func (f *follower) run(ctx context.Context) error {
	backoff := minRetry
	for ctx.Err() == nil {
		if f.step(ctx) == nil {
			backoff = minRetry
			continue
		}
		pause(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxRetry)
	}
	return ctx.Err()
}

// step makes one call. A failed watch goes on from the same version, so an
// outage causes no lists; a version that the store does not know does.
func (f *follower) step(ctx context.Context) error {
	if f.since == 0 || time.Now().After(f.relist) {
		return f.list(ctx)
	}
	l, err := f.client.Watch(ctx, f.kind, f.since, watchWait)
	var gone *plat.GoneError
	if errors.As(err, &gone) || err == nil && l.Version < f.since {
		f.since = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.since = l.Version
	f.apply(l)
	return nil
}

func (f *follower) list(ctx context.Context) error {
	if wait := listInterval - time.Since(f.listed); wait > 0 {
		pause(ctx, wait)
	}
	f.listed = time.Now()
	l, err := f.client.List(ctx, f.kind)
	if err != nil {
		return err
	}
	f.since = max(l.Version, 1)
	f.relist = time.Now().Add(relistInterval/2 + rand.N(relistInterval))
	f.apply(l)
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
