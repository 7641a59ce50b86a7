package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// arrival is one scheduled request.
type arrival struct {
	client *caller.Client
	target Target
	id     string
	// due is the scheduled start, from which latency is measured.
	due time.Time
}

// startArrivals starts requests at the arrival times of a Poisson process,
// each on a random one of the flows. The number of the random stream keeps the
// draws of different Poisson processes independent.
func (r *runner) startArrivals(ctx context.Context, t Target, flows int, rate float64, stream uint64, run func(arrival)) {
	if flows == 0 || rate == 0 {
		return
	}
	clients := make([]*caller.Client, flows)
	for i := range clients {
		clients[i] = r.client(t)
	}
	rng := rand.New(rand.NewPCG(r.config.Seed, stream))
	r.wg.Go(func() {
		timer := time.NewTimer(0)
		defer timer.Stop()
		<-timer.C
		for due := r.start; ; {
			due = due.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
			timer.Reset(time.Until(due))
			select {
			case <-ctx.Done():
				return
			case <-timer.C:
			}
			r.launch(arrival{client: clients[rng.IntN(flows)], target: t, due: due}, run)
		}
	})
}

// launch starts a request, or counts an overrun if too many are in progress.
func (r *runner) launch(a arrival, run func(arrival)) {
	r.mu.Lock()
	r.secondAt(a.due).Offered++
	r.nextID++
	a.id = r.runID + "-" + strconv.Itoa(r.nextID)
	r.mu.Unlock()
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.updateResult(func(s *Result) { s.Overruns++ })
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.inFlight }()
		run(a)
	})
}

// updateResult changes the result under the mutex.
func (r *runner) updateResult(f func(*Result)) {
	r.mu.Lock()
	f(&r.result)
	r.mu.Unlock()
}

// secondAt returns the counts of the second of the run that contains t. The
// mutex must be held.
func (r *runner) secondAt(t time.Time) *Second {
	n := max(0, int(t.Sub(r.start)/time.Second))
	for len(r.result.Seconds) <= n {
		r.result.Seconds = append(r.result.Seconds, Second{})
	}
	return &r.result.Seconds[n]
}
