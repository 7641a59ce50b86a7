package agent

import (
	"context"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/view"

	"github.com/bramleycourse/bramleycourse/internal/drain"
)

const (
	// drainMinimum covers the 3 s in which late views still lead new flows here.
	drainMinimum = 3 * time.Second
	// drainQuiet lets the last packets of the last answer reach its caller.
	drainQuiet = time.Second
	drainTick  = 50 * time.Millisecond
	// drainLinger bounds the wait for callers that keep a flow without a
	// request. Callers close such flows on GOAWAY, but one that reads late still
	// holds an answer, which would be lost if the agent closed the flow.
	drainLinger = 30 * time.Second
)

// Run runs the agent until it has drained. The drain begins when the context
// ends. The function again is called then and returns the signals that follow;
// the first of them cuts the drain.
func (a *Agent) Run(ctx context.Context, again func() <-chan os.Signal) error {
	a.frame.Log.WithField("endpoint", a.self).Info("agent started")
	err := a.frame.RunDrained(ctx, func() { a.drain(again()) })
	a.frame.Log.Info("agent ended")
	return err
}

// drain returns when all work has ended or the drain is cut.
func (a *Agent) drain(signals <-chan os.Signal) {
	m := drain.New(a.limits)
	m.Signal(time.Now())
	a.leave()
	t := time.NewTicker(drainTick)
	defer t.Stop()
	worked := time.Now()
	for {
		var act drain.Action
		select {
		case <-signals:
			act = m.Signal(time.Now())
		case now := <-t.C:
			if a.handler.active.Load() > 0 {
				worked = now
			}
			held := a.gate.stats().Connections > 0 && now.Sub(worked) < drainLinger
			act = m.Check(now, held || a.handler.active.Load() > 0)
		}
		if act == drain.Finish || act == drain.Cut {
			a.frame.Log.WithField("cut", act == drain.Cut).Info("drain ended")
			a.setState(view.Gone)
			return
		}
	}
}

// leave hands over new flows, announces the state and sends GOAWAY.
func (a *Agent) leave() {
	a.frame.Log.WithField("requests", a.handler.active.Load()).Info("drain began")
	a.frame.Draining()
	a.state.Store(int32(view.Draining))
	a.updateGate()
	a.setState(view.Draining)
	a.servers.leaveAll()
}
