package load

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// arrival is one request of the open loop.
type arrival struct {
	client *caller.Client
	target Target
	id     string
	// due is the intended start, from which the latency counts.
	due time.Time
}

// arrivals starts requests at times drawn in advance, each on one of the flows.
func (r *runner) arrivals(ctx context.Context, t Target, flows int, rate float64, stream uint64, run func(arrival)) {
	if flows == 0 || rate == 0 {
		return
	}
	ls := make([]*caller.Client, flows)
	for i := range ls {
		ls[i] = r.client(t)
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
			r.launch(arrival{client: ls[rng.IntN(flows)], target: t, due: due}, run)
		}
	})
}

func (r *runner) launch(a arrival, run func(arrival)) {
	r.mu.Lock()
	r.second(a.due).Offered++
	r.nextID++
	a.id = r.run + "-" + strconv.Itoa(r.nextID)
	r.mu.Unlock()
	select {
	case r.place <- struct{}{}:
	default:
		r.count(func(s *Result) { s.Overruns++ })
		return
	}
	r.wg.Go(func() {
		defer func() { <-r.place }()
		run(a)
	})
}

func (r *runner) count(f func(*Result)) {
	r.mu.Lock()
	f(&r.result)
	r.mu.Unlock()
}

// second returns the counts of the second of the run that holds a time; the
// caller of second holds the mutex.
func (r *runner) second(t time.Time) *Second {
	n := max(0, int(t.Sub(r.start)/time.Second))
	for len(r.result.Seconds) <= n {
		r.result.Seconds = append(r.result.Seconds, Second{})
	}
	return &r.result.Seconds[n]
}
