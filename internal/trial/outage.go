package trial

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Outage describes a failure of all processes and upstreams, and the load around it.
// Times that depend on the users' platform have the values that it states.
type Outage struct {
	Upstreams, Slots int
	// Share is the offered work relative to the capacity of warm upstreams.
	Share float64
	// Dark is the time without power. StartSpread is the time in which the processes
	// start after it, evenly spread.
	Dark, StartSpread time.Duration
	// Work is the mean work of a request at a warm upstream. During ColdTime after
	// its start an upstream takes ColdFactor as long.
	Work       time.Duration
	ColdFactor float64
	ColdTime   time.Duration
	// Objective and Timeout are the latency objective and the timeout of requests.
	Objective, Timeout time.Duration
	// UrgentShare is the share of requests with a high priority, which have
	// urgentWorth times the worth of the others.
	UrgentShare float64
	// Steady is set if nothing fails. Early is set if requests are rejected early.
	Steady, Early bool
}

// Outages returns the outages that the trial command plays: few upstreams with five
// slots, and many with two and with one.
func Outages() []Outage {
	base := Outage{
		Share: 0.7, Dark: 1200 * time.Millisecond, StartSpread: 250 * time.Millisecond,
		Work: 43 * time.Millisecond, ColdFactor: 1.6, ColdTime: 2 * time.Second,
		Objective: 300 * time.Millisecond, Timeout: 1500 * time.Millisecond, UrgentShare: 0.22,
	}
	var os []Outage
	for _, s := range []Size{{10, 5}, {65, 2}, {65, 1}, {204, 2}} {
		o := base
		o.Upstreams, o.Slots = s.Endpoints, s.Slots
		os = append(os, o)
	}
	return os
}

const (
	// outageRetries is the number of further attempts of a caller, and outageAttempt
	// how long it waits for its flow to open.
	outageRetries = 2
	outageAttempt = 1400 * time.Millisecond
	// outageDelay is the one-way delay between callers and upstreams.
	outageDelay = 2 * time.Millisecond
	// outageBefore and outageAfter are the times of load before the outage and after
	// the return. Requests that begin from the outage on are counted.
	outageBefore = 2 * time.Second
	outageAfter  = 3 * time.Second
	lateWorth    = 0.3
	urgentWorth  = 2
	workSigma    = 0.5
)

// copyTimes are the times of an attempt at which a caller sends its opening packet.
var copyTimes = []time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// outageRequest is a request of the simulated load.
type outageRequest struct {
	caller   int
	began    time.Duration
	work     float64 // in units of the mean work
	priority uint8
	attempt  int
	// open is set from the answer to the opening packet of an attempt on.
	open, ended bool
}

func (r *outageRequest) worth() float64 {
	if r.priority == 0 {
		return urgentWorth
	}
	return 1
}

// OutageResult is the result of the requests that began from the outage on.
type OutageResult struct {
	Requests int `json:"requests"`
	// InTime and LateAnswers are the requests that were answered within and after
	// their objective.
	InTime      int `json:"inTime"`
	LateAnswers int `json:"late"`
	// Dark are the failed requests that could not be answered at all: they timed out
	// before a process was back. Rejected ones used all their attempts, TimedOut ones
	// waited until their timeout.
	Dark     int `json:"dark"`
	Rejected int `json:"rejected"`
	TimedOut int `json:"timedOut"`
	// Attempts is the number of attempts, and Told the median time after which rejected
	// requests had their last reset, in milliseconds.
	Attempts   int   `json:"attempts"`
	ToldMillis int64 `json:"toldMillis"`
	told       []time.Duration
	// Worth is the worth of all answers relative to that of answers in time to all.
	Worth float64 `json:"worth"`
}

func (o *OutageResult) add(r *outageRequest, took time.Duration, served bool, s *Outage) {
	switch {
	case served && took <= s.Objective:
		o.InTime++
		o.Worth += r.worth()
	case served && took <= s.Timeout:
		o.LateAnswers++
		o.Worth += lateWorth * r.worth()
	case r.began+s.Timeout < outageBefore+s.Dark:
		o.Dark++
	case took < s.Timeout:
		o.Rejected++
		o.told = append(o.told, took)
	default:
		o.TimedOut++
	}
}

// requests draws the load. It depends on the seed only.
func (o *Outage) requests(seed uint64) []*outageRequest {
	rng := rand.New(rand.NewPCG(seed, 7))
	rate := o.Share * float64(o.Upstreams*o.Slots) / o.Work.Seconds()
	var rs []*outageRequest
	for at := 0.0; ; {
		at += rng.ExpFloat64() / rate
		began := time.Duration(at * float64(time.Second))
		if began >= outageBefore+o.Dark+outageAfter {
			return rs
		}
		r := &outageRequest{caller: len(rs), began: began, priority: 2, work: math.Exp(workSigma*rng.NormFloat64() - workSigma*workSigma/2)}
		if rng.Float64() < o.UrgentShare {
			r.priority = 0
		}
		rs = append(rs, r)
	}
}

// workTime returns how long an upstream that started at a time works on a request that
// it begins now.
func (o *Outage) workTime(r *outageRequest, now, started time.Duration) time.Duration {
	w := r.work * float64(o.Work)
	if started > 0 && now < started+o.ColdTime {
		w *= o.ColdFactor
	}
	return time.Duration(w)
}

// started returns when an upstream and its agent are back.
func (o *Outage) started(upstream int) time.Duration {
	return outageBefore + o.Dark + o.StartSpread*time.Duration(upstream)/time.Duration(o.Upstreams)
}

// counted reports whether a request belongs to the result.
func counted(r *outageRequest) bool { return r.began >= outageBefore }

// finish turns the sum of worth into a share.
func (o *OutageResult) finish(rs []*outageRequest) {
	total := 0.0
	for _, r := range rs {
		if counted(r) {
			o.Requests++
			total += r.worth()
		}
	}
	o.Worth /= total
	if slices.Sort(o.told); len(o.told) > 0 {
		o.ToldMillis = o.told[len(o.told)/2].Milliseconds()
	}
}

// outageClock runs events in simulated time.
type outageClock struct {
	now    time.Duration
	events events
	seq    int
}

// at runs a function at a time.
func (c *outageClock) at(t time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{max(t, c.now).Seconds(), c.seq, func() {
		c.now = max(t, c.now)
		run()
	}})
}

func (c *outageClock) run() {
	for len(c.events) > 0 {
		heap.Pop(&c.events).(event).run()
	}
}

// oracle serves one queue with the slots of all upstreams.
type oracle struct {
	*Outage
	outageClock
	waiting []*outageRequest
	// free is the number of slots that found nothing to serve.
	free   int
	result OutageResult
}

// Oracle returns the result of one queue for the slots of all upstreams, served by
// someone who knows all durations: of the requests that can still be in time the one
// with the earliest objective, otherwise the newest that can meet its timeout. A request
// can be served from the first copy of its opening packet after the return on.
func (o *Outage) Oracle(seed uint64) OutageResult {
	rs := o.requests(seed)
	c := &oracle{Outage: o}
	for u := range o.Upstreams {
		for range o.Slots {
			c.at(o.started(u), func() { c.serve(o.started(u)) })
		}
	}
	back := outageBefore + o.Dark
	for _, r := range rs {
		if counted(r) {
			c.at(firstCopyAfter(r.began, back), func() { c.arrive(r, back) })
		}
	}
	c.run()
	for _, r := range rs {
		if counted(r) && !r.ended {
			c.result.add(r, o.Timeout, false, o)
		}
	}
	c.result.finish(rs)
	return c.result
}

func (c *oracle) arrive(r *outageRequest, started time.Duration) {
	c.waiting = append(c.waiting, r)
	if c.free > 0 {
		c.free--
		c.serve(started)
	}
}

// serve gives a slot of an upstream that started at a time the next request.
func (c *oracle) serve(started time.Duration) {
	n := c.next(started)
	if n < 0 {
		c.free++
		return
	}
	r := c.waiting[n]
	c.waiting = slices.Delete(c.waiting, n, n+1)
	r.ended = true
	c.at(c.now+c.workTime(r, c.now, started), func() {
		c.result.add(r, c.now+outageDelay-r.began, true, c.Outage)
		c.serve(started)
	})
}

// next returns the index of the request to serve, or -1 if none can meet its timeout.
func (c *oracle) next(started time.Duration) int {
	c.waiting = slices.DeleteFunc(c.waiting, func(r *outageRequest) bool { return c.now-r.began > c.Timeout })
	best, bestInTime := -1, false
	for n, r := range c.waiting {
		took := c.now + c.workTime(r, c.now, started) + outageDelay - r.began
		inTime := took <= c.Objective
		switch {
		case took > c.Timeout || bestInTime && !inTime:
		case best < 0, inTime && !bestInTime, inTime && r.began < c.waiting[best].began, !inTime && r.began > c.waiting[best].began:
			best, bestInTime = n, inTime
		}
	}
	return best
}

// firstCopyAfter returns when the first packet of a request that began at a time arrives
// at or after another time. Attempts follow one another without a pause.
func firstCopyAfter(began, after time.Duration) time.Duration {
	for attempt := began; ; attempt += outageAttempt {
		for _, d := range copyTimes {
			if at := attempt + d + outageDelay; at >= after {
				return at
			}
		}
	}
}
