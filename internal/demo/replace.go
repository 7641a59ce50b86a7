package demo

import (
	"context"
)

// replace replaces one balancer and one upstream of each service at the same
// time: new ones start, and when all know each other the old ones drain.
func (d *demo) replace(ctx context.Context) error {
	d.say("replacing a balancer and an upstream of each service")
	b, err := d.startBalancer("b4", d.users[0].places[0], d.balancers)
	if err != nil {
		return err
	}
	d.balancers = append(d.balancers, b)
	for _, u := range d.spares {
		if err := d.startAgent(u, d.balancers); err != nil {
			return err
		}
		d.upstreams = append(d.upstreams, u)
	}
	if err := d.ready(ctx); err != nil {
		return err
	}
	d.aim(d.balancers)
	return d.drainOld(ctx)
}

// drainOld drains the first balancer and the first upstream of each service,
// all at once, and waits for their ends.
func (d *demo) drainOld(ctx context.Context) error {
	old := d.balancers[0]
	d.retiredBalancers, d.balancers = append(d.retiredBalancers, old), d.balancers[1:]
	var kept []*upstream
	seen := map[string]bool{}
	for _, u := range d.upstreams {
		if seen[u.service] {
			kept = append(kept, u)
			continue
		}
		seen[u.service] = true
		d.retired = append(d.retired, u)
	}
	d.upstreams = kept
	old.drain()
	leaving := []*member{old.member}
	for _, u := range d.retired {
		u.drain()
		leaving = append(leaving, u.member)
	}
	if err := wait(ctx, fabricLag); err != nil {
		return err
	}
	d.aim(d.balancers)
	for _, m := range leaving {
		if err := m.drained(ctx, drainLimit); err != nil {
			return err
		}
		d.drained++
	}
	d.say("%d members drained and ended", d.drained)
	return nil
}
