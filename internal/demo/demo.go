// Package demo runs the whole system in one process: the platform stand-in,
// balancers, the services of two example users, real HTTP/3 callers, and a
// rolling replacement under load. Upstreams and callers count what happened.
package demo

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/load"
)

const (
	balancers = 3
	// readyLimit bounds the start and drainLimit a planned stop on a busy machine.
	readyLimit = 15 * time.Second
	drainLimit = 45 * time.Second
	poll       = 20 * time.Millisecond
	// maxRun bounds the load if the replacement hangs.
	maxRun         = 2 * time.Minute
	requestTimeout = 5 * time.Second
	// fabricLag is the time from the beginning of a balancer's drain until the
	// fabric stops spraying over it.
	fabricLag = 500 * time.Millisecond
)

// Options set the times and the output of a demo.
type Options struct {
	// Steady is the time under load before the replacement, in which the
	// imbalance is measured. Settle is the time under load after it.
	Steady, Settle time.Duration
	// Progress receives a line for each step and about each second; it may be nil.
	Progress func(line string)
	// Log receives the log events of all balancers and agents; nil drops them.
	Log io.Writer
}

// demo is one run.
type demo struct {
	Options
	*site
	start     time.Time
	balancers []*balancer
	// upstreams are those in service, spares those that replace the first of
	// each service, and retired those replaced.
	upstreams, spares, retired []*upstream
	retiredBalancers           []*balancer
	drained                    int
}

// Run runs the demo. It has ended everything that it started when it returns.
func Run(ctx context.Context, o Options) (*Result, error) {
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
	s, err := newSite(users(), o.Log)
	if err != nil {
		return nil, err
	}
	defer s.close()
	d := &demo{Options: o, site: s, start: time.Now()}
	defer d.stop()
	if err := d.startMembers(ctx); err != nil {
		return nil, err
	}
	return d.underLoad(ctx)
}

func (d *demo) say(format string, args ...any) {
	d.Progress(fmt.Sprintf("%5.1f s: ", time.Since(d.start).Seconds()) + fmt.Sprintf(format, args...))
}

// startMembers starts balancers and upstreams and waits until they know each other.
func (d *demo) startMembers(ctx context.Context) error {
	for i := range balancers {
		u := d.users[0]
		b, err := d.startBalancer(fmt.Sprintf("b%d", i+1), u.places[i%len(u.places)], d.balancers)
		if err != nil {
			return err
		}
		d.balancers = append(d.balancers, b)
	}
	for _, u := range d.users {
		for _, v := range u.services {
			if err := d.startService(u, v); err != nil {
				return err
			}
		}
	}
	d.aim(d.balancers)
	if err := d.ready(ctx); err != nil {
		return err
	}
	d.say("started the platform stand-in, %d balancers and %d upstreams with their agents", len(d.balancers), len(d.upstreams))
	return nil
}

// startService starts the upstreams of a service and the stand-in of a spare one.
func (d *demo) startService(u user, v service) error {
	for i := range v.upstreams {
		a, err := d.newUpstream(v.name, u.places[i%len(u.places)])
		if err != nil {
			return err
		}
		if err := d.startAgent(a, d.balancers); err != nil {
			return err
		}
		d.upstreams = append(d.upstreams, a)
	}
	spare, err := d.newUpstream(v.name, u.places[0])
	d.spares = append(d.spares, spare)
	return err
}

// ready waits until every balancer forwards and uses every upstream.
func (d *demo) ready(ctx context.Context) error {
	t := time.NewTicker(poll)
	defer t.Stop()
	for end := time.Now().Add(readyLimit); time.Now().Before(end); {
		ok := true
		for _, b := range d.balancers {
			ok = ok && b.configured() && b.uses(d.upstreams)
		}
		if ok {
			return nil
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return fmt.Errorf("balancers and upstreams did not find each other within %v", readyLimit)
}

// stop ends all members at once; drains are over or of no use any more.
func (d *demo) stop() {
	var ms []*member
	for _, u := range slices.Concat(d.upstreams, d.retired) {
		ms = append(ms, u.member)
	}
	for _, b := range slices.Concat(d.balancers, d.retiredBalancers) {
		ms = append(ms, b.member)
	}
	done := make(chan struct{})
	for _, m := range ms {
		go func() {
			m.kill()
			done <- struct{}{}
		}()
	}
	for range ms {
		<-done
	}
}

// underLoad runs the replacement under load and returns what was counted.
func (d *demo) underLoad(ctx context.Context) (*Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		result *load.Result
		err    error
	}
	ended := make(chan outcome, 1)
	go func() {
		r, err := load.Run(ctx, d.loadConfig())
		ended <- outcome{r, err}
	}()
	steady, err := d.phases(ctx)
	cancel()
	o := <-ended
	if err != nil {
		return nil, err
	}
	if o.err != nil {
		return nil, errors.Annotate(o.err, "load")
	}
	d.say("load ended")
	return d.result(o.result, steady), nil
}

func (d *demo) loadConfig() load.Config {
	c := load.Config{
		Duration: maxRun, Timeout: requestTimeout, Seed: 1,
		TLS: &tls.Config{RootCAs: d.authority.Pool(), ServerName: "localhost"},
		Progress: func(p load.Progress) {
			d.say("%d requests, %d in progress, %d failures", p.Requests, p.InFlight, p.Failures)
		},
	}
	for _, u := range d.users {
		for _, v := range u.services {
			c.Targets = append(c.Targets, load.Target{Service: v.name, Addr: d.fabrics[v.name].Addr(), Mix: v.mix})
		}
	}
	for _, u := range slices.Concat(d.upstreams, d.spares) {
		c.Stubs = append(c.Stubs, u.url)
	}
	return c
}

// phases lets the load run, replaces members, and lets it run again. It
// returns the counts of the upstreams before the replacement.
func (d *demo) phases(ctx context.Context) (map[string]shares, error) {
	d.say("load began; replacement in %v", d.Steady)
	if err := wait(ctx, d.Steady); err != nil {
		return nil, err
	}
	steady := d.shares()
	if err := d.replace(ctx); err != nil {
		return nil, err
	}
	return steady, wait(ctx, d.Settle)
}

func wait(ctx context.Context, t time.Duration) error {
	select {
	case <-time.After(t):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
