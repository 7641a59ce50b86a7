package ring

import (
	"sync"
	"testing"
)

// TestOverflow guards against senders that block, and against items that are lost
// without being counted.
func TestOverflow(t *testing.T) {
	const senders, each, size = 8, 1000, 16
	r := New[int](size)
	received := make(chan int)
	go func() {
		n := 0
		for v := range r.Items() {
			if v < 0 {
				break
			}
			n++
		}
		received <- n
	}()
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for i := range each {
				r.Put(i)
			}
		})
	}
	wg.Wait()
	overflow := int(r.Overflow())
	for !r.Put(-1) {
	}
	if have := <-received; have+overflow != senders*each {
		t.Errorf("want %d items received or counted, have %d and %d", senders*each, have, overflow)
	}
	for range size {
		r.Put(1)
	}
	if r.Len() != size || r.Put(1) {
		t.Errorf("a full ring: want %d items and Put to return false, have %d items", size, r.Len())
	}
}
