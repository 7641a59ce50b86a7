// Command bramleycourse is a layer-4 load balancer for small teams.
package main

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

type cli struct {
	Balancer balancerCmd `cmd:"" help:"Run a balancer."`
	Agent    agentCmd    `cmd:"" help:"Run the agent beside an upstream."`
	Print    printCmd    `cmd:"" help:"Check a declaration and print its canonical form."`
	Check    checkCmd    `cmd:"" help:"Check a declaration before it is applied, and show what differs."`
	Apply    applyCmd    `cmd:"" help:"Put a declaration in force."`
	Status   statusCmd   `cmd:"" help:"Show the processes and the generation that each has in force."`
	Dump     dumpCmd     `cmd:"" help:"Print the state dump of a process."`
	Explain  explainCmd  `cmd:"" help:"Explain from logs what happened to a flow."`
	Trial    trialCmd    `cmd:"" help:"Compare placement policies in a queue model."`
	Slope    slopeCmd    `cmd:"" help:"Measure what control costs against the numbers of balancers and endpoints."`
	Demo     demoCmd     `cmd:"" help:"Run everything in one process, replace a part of it under load, and print what was counted."`
	Load     loadCmd     `cmd:"" help:"Generate load and report broken flows, wrong answers and imbalance."`
	Keys     keysCmd     `cmd:"" help:"Make or rotate a keys file."`
	Certs    certsCmd    `cmd:"" help:"Make a test authority and certificates."`
	Standin  standinCmd  `cmd:"" help:"Run a stand-in of an outside system, for tests."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("bramleycourse"), kong.Description("A layer-4 load balancer for small teams."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}
