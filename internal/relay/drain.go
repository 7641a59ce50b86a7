package relay

import (
	"context"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/drain"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// drainQuiet is the time without packets from callers after which a drain
	// ends.
	drainQuiet = 2 * time.Second
	// drainTick is the time between two checks for packets from callers.
	drainTick = 50 * time.Millisecond
	// announceGoneTimeout bounds the time spent on announcing the end of the
	// process.
	announceGoneTimeout = time.Second
)

// Run runs the balancer until it has drained. The drain begins when ctx ends.
// Then nextSignals is called, which returns a channel of further signals; the
// first signal ends the drain at once.
func (b *Balancer) Run(ctx context.Context, nextSignals func() <-chan os.Signal) error {
	b.frame.Log.WithField("hop", b.hopAddr).Info("balancer started")
	b.announce(b.members.node.Self())
	err := b.frame.RunDrained(ctx, func() {
		b.drain(nextSignals())
		b.announceGone()
	})
	b.closePorts()
	b.frame.Log.Info("balancer ended")
	return err
}

// drain returns when no more packets arrive from callers, when the drain limit
// is reached, or when a signal ends the drain.
func (b *Balancer) drain(signals <-chan os.Signal) {
	m := drain.New(drain.Limits{Quiet: drainQuiet, Limit: b.settings.DrainLimit()})
	m.Signal(time.Now())
	b.frame.Log.Info("drain began")
	b.draining.Store(true)
	b.frame.Draining()
	b.announce(b.members.node.SetState(view.Draining))
	t := time.NewTicker(drainTick)
	defer t.Stop()
	last := b.callerPackets()
	for {
		var action drain.Action
		select {
		case <-signals:
			action = m.Signal(time.Now())
		case now := <-t.C:
			n := b.callerPackets()
			action = m.Check(now, n != last)
			last = n
		}
		if action == drain.Finish || action == drain.Abort {
			b.frame.Log.WithField("cut", action == drain.Abort).Info("drain ended")
			return
		}
	}
}

// callerPackets returns the number of packets received from callers.
func (b *Balancer) callerPackets() uint64 {
	var n uint64
	for _, o := range []outcome{established, newFlow, malformed, tooLong, unknownID, unknownKey, wrongService, foreignNetwork, noEndpoint, evacuated} {
		n += b.counts.totals[o].Load()
	}
	return n
}

// announceGone tells peers, agents and the platform that this balancer ends. It
// returns within announceGoneTimeout even if none of them responds.
func (b *Balancer) announceGone() {
	ctx, cancel := context.WithTimeout(context.Background(), announceGoneTimeout)
	defer cancel()
	b.members.node.SetState(view.Gone)
	b.keeper.Set(nil)
	b.members.node.Flush(ctx)
	b.keeper.Wait(ctx)
}
