package demo

import (
	"context"
)

// replace replaces one balancer and one upstream of each service at the same time.
// The old ones drain once the new ones are ready.
func (d *demo) replace(ctx context.Context) error {
	d.progressf("replacing a balancer and an upstream of each service")
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
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	d.setTargets(d.balancers)
	return d.drainOld(ctx)
}

// drainOld drains the first balancer and the first upstream of each service
// concurrently and waits until they have stopped.
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
	if err := sleep(ctx, fabricUpdateDelay); err != nil {
		return err
	}
	d.setTargets(d.balancers)
	for _, m := range leaving {
		if err := m.waitDrained(ctx, drainTimeout); err != nil {
			return err
		}
		d.drainedCount++
	}
	d.progressf("%d members drained and ended", d.drainedCount)
	return nil
}
