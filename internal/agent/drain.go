package agent

import (
	"context"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"

	"github.com/bramleycourse/bramleycourse/internal/drain"
)

const (
	// drainMinimum is the shortest duration of a drain. Balancers with an
	// outdated view still send new flows to this agent for 3 s.
	drainMinimum = 3 * time.Second
	// drainQuiet leaves time for the last packets of the last answer to reach
	// the caller.
	drainQuiet         = time.Second
	drainCheckInterval = 50 * time.Millisecond
	// maxOpenFlowWait bounds the wait for open flows, counted from the time when
	// the agent last had an active request or from the start of the drain.
	// Callers close flows without a request on GOAWAY. A slow caller may not
	// have read all of an answer yet, and closing the flow would discard the
	// rest.
	maxOpenFlowWait = 30 * time.Second
)

// Run runs the agent until it has drained. The drain begins when the context
// ends. nextSignals is called at that time and returns the signals that follow;
// the first of them aborts the drain.
func (a *Agent) Run(ctx context.Context, nextSignals func() <-chan os.Signal) error {
	a.process.Log.WithField("endpoint", a.self).Info("agent started")
	err := a.process.RunDrained(ctx, func() { a.drain(nextSignals()) })
	a.process.Log.Info("agent ended")
	return err
}

// drain returns when all work has ended or the drain is aborted.
func (a *Agent) drain(signals <-chan os.Signal) {
	m := drain.New(a.limits)
	m.Signal(time.Now())
	a.beginDrain()
	t := time.NewTicker(drainCheckInterval)
	defer t.Stop()
	lastActive := time.Now()
	for {
		var act drain.Action
		select {
		case <-signals:
			act = m.Signal(time.Now())
		case now := <-t.C:
			if a.handler.active.Load() > 0 {
				lastActive = now
			}
			flowsOpen := a.admission.stats().Connections > 0 && now.Sub(lastActive) < maxOpenFlowWait
			act = m.Check(now, flowsOpen || a.handler.active.Load() > 0)
		}
		if act == drain.Finish || act == drain.Abort {
			a.process.Log.WithField("cut", act == drain.Abort).Info("drain ended")
			a.setState(view.Gone)
			return
		}
	}
}

// beginDrain makes the gate forward new flows, announces the state draining and
// sends GOAWAY.
func (a *Agent) beginDrain() {
	a.process.Log.WithField("requests", a.handler.active.Load()).Info("drain began")
	a.process.Draining()
	a.state.Store(int32(view.Draining))
	a.updateDraining()
	a.setState(view.Draining)
	a.servers.drainAll()
}
