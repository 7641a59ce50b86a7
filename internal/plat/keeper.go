package plat

import (
	"context"
	"sync"
	"time"

	mrand "math/rand/v2"

	"github.com/juju/errors"
)

const maxKeeperRetry = 5 * time.Second

// Keeper keeps one object of the platform as its only owner wants it. It works
// in the background, so an outage of the platform delays nobody.
type Keeper struct {
	c    *Client
	kind Kind
	name string

	mu sync.Mutex
	// value builds the wanted value; nil means that the object must not exist.
	value func(writer string) any
	// wanted counts the changes of value; settled is the last one written.
	wanted, settled uint64
	failures        uint64
	// changed and written are closed and replaced at each change.
	changed, written chan struct{}
}

// NewKeeper returns a keeper without work. Run does the work.
func NewKeeper(c *Client, k Kind, name string) *Keeper {
	return &Keeper{c: c, kind: k, name: name, changed: make(chan struct{}), written: make(chan struct{})}
}

// Set makes the object hold the value, which must carry the writer token as
// PutOnce demands. A nil function removes the object.
func (k *Keeper) Set(value func(writer string) any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.value = value
	k.wanted++
	close(k.changed)
	k.changed = make(chan struct{})
}

// Wait waits until the platform holds what was last set, or the context ends.
func (k *Keeper) Wait(ctx context.Context) bool {
	for {
		k.mu.Lock()
		settled, written := k.settled == k.wanted, k.written
		k.mu.Unlock()
		if settled {
			return true
		}
		select {
		case <-written:
		case <-ctx.Done():
			return false
		}
	}
}

// Failures returns the number of failed attempts.
func (k *Keeper) Failures() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failures
}

// Run writes until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	wait := minRetry
	for ctx.Err() == nil {
		k.mu.Lock()
		value, wanted, settled, changed := k.value, k.wanted, k.settled, k.changed
		k.mu.Unlock()
		var retry <-chan time.Time
		if wanted != settled {
			if k.write(ctx, value, wanted) {
				wait = minRetry
				continue
			}
			retry = time.After(wait/2 + mrand.N(wait))
			wait = min(2*wait, maxKeeperRetry)
		}
		select {
		case <-changed:
		case <-retry:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

func (k *Keeper) write(ctx context.Context, value func(string) any, wanted uint64) bool {
	var err error
	if value == nil {
		err = k.remove(ctx)
	} else {
		// An outage must not hold an old value back when a new one is set.
		ctx, cancel := context.WithTimeout(ctx, k.c.timeout)
		defer cancel()
		_, err = k.c.PutOnce(ctx, k.kind, k.name, func(_ Object, writer string) (any, error) { return value(writer), nil })
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.failures++
		return false
	}
	k.settled = wanted
	close(k.written)
	k.written = make(chan struct{})
	return true
}

// remove deletes the object. Only its owner writes it, so any version will do.
func (k *Keeper) remove(ctx context.Context) error {
	o, err := k.c.Get(ctx, k.kind, k.name)
	if err == nil {
		err = k.c.Delete(ctx, k.kind, k.name, o.Version)
	}
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}
