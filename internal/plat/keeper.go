package plat

import (
	"context"
	"sync"
	"time"

	mrand "math/rand/v2"

	"github.com/juju/errors"
)

// maxKeeperRetry is the greatest delay between two tries of a Keeper, before jitter.
const maxKeeperRetry = 5 * time.Second

// Keeper reconciles one platform object with the value that its only owner wants.
// It writes in the background, so an outage of the platform does not block calls of
// Set.
type Keeper struct {
	c    *Client
	kind Kind
	name string

	mu sync.Mutex
	// value builds the desired value; nil means that the object must not exist.
	value func(writer string) any
	// wanted counts the calls of Set; settled is the number of the last call whose value
	// has been written.
	wanted, settled uint64
	failures        uint64
	// Each Set closes and replaces changed; each successful write closes and replaces
	// written.
	changed, written chan struct{}
}

// NewKeeper returns a keeper that has nothing to write yet. Run performs the writes.
func NewKeeper(c *Client, k Kind, name string) *Keeper {
	return &Keeper{c: c, kind: k, name: name, changed: make(chan struct{}), written: make(chan struct{})}
}

// Set replaces the desired value, which must contain the writer token as PutOnce
// requires. A nil function removes the object.
func (k *Keeper) Set(value func(writer string) any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.value = value
	k.wanted++
	close(k.changed)
	k.changed = make(chan struct{})
}

// Wait returns true once the last Set has been written, and false if the context
// ends first.
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

// Failures returns the number of failed writes.
func (k *Keeper) Failures() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.failures
}

// Run writes each change until the context ends. It retries failed writes with
// exponential backoff and jitter.
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
		// PutOnce retries until its context ends. The timeout lets Run pick up a
		// newer value during an outage.
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

// remove deletes the object at whatever version it has, since only its owner
// writes it. An object that does not exist is no error.
func (k *Keeper) remove(ctx context.Context) error {
	o, err := k.c.Get(ctx, k.kind, k.name)
	if err == nil {
		err = k.c.Delete(ctx, k.kind, k.name, o.Version, InEra(o.Era))
	}
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	return err
}
