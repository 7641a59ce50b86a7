package main

import (
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// router forwards the packets of the clients of the first zone to its balancers. It
// checks each balancer twice a second; after two misses the balancer is out of rotation
// until it answers 200 again.
type router struct {
	mu     sync.Mutex
	nodes  []*machine
	missed map[*machine]int
	done   chan struct{}
}

func newRouter(d *deployment) *router {
	r := &router{missed: map[*machine]int{}, done: make(chan struct{})}
	for _, m := range d.edges {
		r.missed[m] = 2
		if m.zone == d.edges[0].zone {
			r.nodes = append(r.nodes, m)
		}
		go r.check(m)
	}
	return r
}

func (r *router) check(m *machine) {
	client := http.Client{Timeout: readyInterval * 4 / 5, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		ready := false
		if resp, err := client.Get("http://" + m.addr(readyPort).String() + "/ready"); err == nil {
			_ = resp.Body.Close()
			ready = resp.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		before := r.missed[m]
		r.missed[m] = before + 1
		if ready {
			r.missed[m] = 0
		}
		if before < 2 != (r.missed[m] < 2) {
			m.d.record.note("%s is in rotation: %t", m.name, r.missed[m] < 2)
		}
		r.mu.Unlock()
		select {
		case <-ticker.C:
		case <-r.done:
			return
		}
	}
}

func (r *router) allReady() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.missed {
		if n > 0 {
			return false
		}
	}
	return true
}

// balancerFor returns the balancer that gets a packet of a flow. Only the flows of a
// balancer that leaves the rotation move to another one.
func (r *router) balancerFor(from netip.AddrPort) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *machine
	var highest uint64
	inRotation := 0
	for _, m := range r.nodes {
		if r.missed[m] < 2 {
			inRotation++
		}
	}
	for _, m := range r.nodes {
		if 2*inRotation >= len(r.nodes) && r.missed[m] >= 2 {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(from.String() + " " + m.name))
		if sum := mix(h.Sum64()); best == nil || sum > highest {
			best, highest = m, sum
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
