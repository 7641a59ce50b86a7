package relay

import (
	"context"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// drainQuiet is the time without packets from the fabric that ends a drain.
	drainQuiet = 2 * time.Second
	drainTick  = 50 * time.Millisecond
	// goneTimeout bounds the announcement of the end.
	goneTimeout = time.Second
)

// Run runs the balancer until it has drained. The drain begins when the
// context ends. The function again is called then and returns the signals that
// follow; the first of them cuts the drain.
func (b *Balancer) Run(ctx context.Context, again func() <-chan os.Signal) error {
	b.frame.Log.WithField("hop", b.hopAddr).Info("balancer started")
	b.announce(b.views.node.Self())
	err := b.frame.RunDrained(ctx, func() {
		b.drain(again())
		b.announceGone()
	})
	b.closePorts()
	b.frame.Log.Info("balancer ended")
	return err
}

// drain returns when the fabric sends no more packets or the drain is cut.
func (b *Balancer) drain(signals <-chan os.Signal) {
	m := drain.New(drain.Limits{Quiet: drainQuiet, Limit: b.settings.DrainLimit()})
	m.Signal(time.Now())
	b.frame.Log.Info("drain began")
	b.draining.Store(true)
	b.frame.Draining()
	b.announce(b.views.node.SetState(view.Draining))
	t := time.NewTicker(drainTick)
	defer t.Stop()
	seen := b.arrived()
	for {
		var act drain.Action
		select {
		case <-signals:
			act = m.Signal(time.Now())
		case now := <-t.C:
			n := b.arrived()
			act = m.Check(now, n != seen)
			seen = n
		}
		if act == drain.Finish || act == drain.Cut {
			b.frame.Log.WithField("cut", act == drain.Cut).Info("drain ended")
			return
		}
	}
}

// arrived counts the packets that came from the fabric.
func (b *Balancer) arrived() uint64 {
	var n uint64
	for _, o := range []outcome{established, newFlow, malformed, tooLong, unknownID, unknownKey, wrongService, foreignNetwork, noEndpoint} {
		n += b.counts.totals[o].Load()
	}
	return n
}

// announceGone announces the end to peers, agents and the platform, within
// goneTimeout even if none of them answers.
func (b *Balancer) announceGone() {
	ctx, cancel := context.WithTimeout(context.Background(), goneTimeout)
	defer cancel()
	b.views.node.SetState(view.Gone)
	b.keeper.Set(nil)
	b.views.node.Flush(ctx)
	b.keeper.Wait(ctx)
}
