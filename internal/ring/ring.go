// Package ring provides bounded queues between goroutines that drop and count items
// instead of blocking the sender.
package ring

import "sync/atomic"

// Ring is a bounded FIFO queue from any number of senders to one receiver.
type Ring[T any] struct {
	items    chan T
	overflow atomic.Uint64
}

// New returns an empty ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Put appends v. If the ring is full, it drops v, counts it and returns false.
func (r *Ring[T]) Put(v T) bool {
	select {
	case r.items <- v:
		return true
	default:
		r.overflow.Add(1)
		return false
	}
}

// Items returns the channel to receive from.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Overflow returns the number of items dropped so far.
func (r *Ring[T]) Overflow() uint64 { return r.overflow.Load() }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.items) }
