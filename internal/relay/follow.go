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
	// watchInterval is the least time between a watch answer with changes of
	// endpoints or balancers and the next watch call, so that the changes of a
	// burst share an answer. Sessions carry these changes at once anyway.
	watchInterval = time.Second
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
	// interval is the least time after an answer with changes; it is jittered
	// so that the balancers do not call together. Zero means none.
	interval time.Duration

	// since is the version that the next watch begins at. Zero demands a list
	// unless empty is set: the store was listed and held nothing yet.
	since  plat.Version
	empty  bool
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
	if f.since == 0 && !f.empty || time.Now().After(f.relist) {
		return f.list(ctx)
	}
	l, err := f.client.Watch(ctx, f.kind, f.since, watchWait)
	var gone *plat.GoneError
	if errors.As(err, &gone) || err == nil && l.Version < f.since {
		f.since, f.empty = 0, false
		return nil
	}
	if err != nil {
		return err
	}
	f.since = l.Version
	f.apply(l)
	if f.interval > 0 && len(l.Objects) > 0 {
		pause(ctx, f.interval+rand.N(f.interval/2))
	}
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
	f.since, f.empty = l.Version, l.Version == 0
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
