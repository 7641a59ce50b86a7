// Command late plays cases of the second review with the real programs on loopback: it
// starts the balancers and agents of a small deployment as separate processes, and takes
// the parts of the platform, of the servers and of the clients.
//
// The exit status is 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitCannotRun
)

// maxRunTime ends a run that hangs.
const maxRunTime = 110 * time.Second

var cases = map[string]func(*deployment) (broken bool, err error){
	"frozen-balancer":   playFrozenBalancer,
	"delayed-heartbeat": playDelayedHeartbeat,
	"odd-heartbeat":     playOddHeartbeat,
	"rolled-agents":     playRolledAgents,
	"stale-hint":        playStaleHint,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: late CASE RECORD")
		return exitCannotRun
	}
	d, err := newDeployment(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer d.close()
	done := make(chan struct{})
	var broken bool
	go func() {
		defer close(done)
		broken, err = cases[args[0]](d)
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-done:
	case <-signals:
		return exitCannotRun
	case <-time.After(maxRunTime):
		d.record.note("the run took too long")
		return exitCannotRun
	}
	switch {
	case err != nil:
		d.record.note("could not run: %v", err)
		return exitCannotRun
	case broken:
		d.record.note("result: the rule was broken")
		return exitBroken
	}
	d.record.note("result: held")
	return exitHeld
}

// errNoFlows reports that the clients could not open the flows that a case needs.
var errNoFlows = errors.New("too few flows were opened")
