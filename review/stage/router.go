package stage

import (
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
)

const (
	// checkInterval is the time between two readiness checks of the platform's routers.
	checkInterval = 500 * time.Millisecond
	// maxMisses is the number of failed checks in a row after which a balancer is out of
	// rotation.
	maxMisses = 2
)

// Router chooses the balancer of each packet as the platform's routers do: by a steady hash
// over the balancers in rotation, or over all if fewer than half of them are in rotation.
type Router struct {
	stage *Stage
	mu    sync.Mutex
	// misses are the failed checks of each balancer in a row.
	misses []int
}

// StartRouter starts the readiness checks of the balancers.
func (s *Stage) StartRouter() *Router {
	r := &Router{stage: s, misses: make([]int, len(s.Balancers))}
	for n := range s.Balancers {
		go r.check(n)
	}
	return r
}

func (r *Router) check(n int) {
	client := http.Client{Timeout: checkInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(checkInterval) {
		missed := true
		if answer, err := client.Get("http://" + r.stage.Addr(balancerHost+n, readyPort).String() + "/ready"); err == nil {
			_ = answer.Body.Close()
			missed = answer.StatusCode != http.StatusOK
		}
		r.mu.Lock()
		if r.misses[n]++; !missed {
			r.misses[n] = 0
		}
		r.mu.Unlock()
	}
}

// BalancerFor returns the balancer that gets a packet of a flow.
func (r *Router) BalancerFor(from, to netip.AddrPort) (netip.AddrPort, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ready := 0
	for _, m := range r.misses {
		if m < maxMisses {
			ready++
		}
	}
	best, score := 0, uint64(0)
	for n, m := range r.misses {
		if m >= maxMisses && 2*ready >= len(r.misses) {
			continue
		}
		a := r.stage.HopAddr(n)
		if h := flow.KeyOf(from, netip.AddrPortFrom(a.Addr(), to.Port())).Hash(); h >= score {
			best, score = n, h
		}
	}
	return r.stage.HopAddr(best), true
}
