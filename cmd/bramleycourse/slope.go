package main

import (
	"context"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/slope"
)

type slopeCmd struct {
	Peers     slopePeersCmd     `cmd:"" help:"Measure the sessions of many balancers in one process."`
	Processes slopeProcessesCmd `cmd:"" help:"Measure balancer processes with stand-ins of agents."`
}

type slopePeersCmd struct {
	Nodes     int           `help:"Balancers." default:"40"`
	Endpoints int           `help:"Endpoints in the view." default:"4500"`
	Services  int           `help:"Services in the configuration, up to 1100." default:"1100"`
	Runs      int           `help:"Number of runs." default:"3"`
	Marks     int           `help:"Endpoints to mark down." default:"0"`
	Window    time.Duration `help:"Length of a measurement of rates." default:"5s"`
}

// Run prints the median and the range of each figure.
func (c *slopePeersCmd) Run(ctx context.Context) error {
	p := slope.Peers{Nodes: c.Nodes, Endpoints: c.Endpoints, Services: c.Services, Marks: c.Marks, Window: c.Window}
	return repeat(c.Runs, func(r slope.Report) error { return p.Run(ctx, r) })
}

type slopeProcessesCmd struct {
	Balancers int           `help:"Balancer processes." default:"10"`
	Agents    int           `help:"Stand-ins of agents with sessions." default:"50"`
	Listed    int           `help:"Endpoints that have only a platform object and answer probes." default:"0"`
	Services  int           `help:"Services in the configuration, up to 1100." default:"10"`
	Runs      int           `help:"Number of runs." default:"3"`
	Joining   int           `help:"Agents that announce themselves at once at the end." default:"0"`
	Window    time.Duration `help:"Length of the idle measurement." default:"10s"`
}

// Run prints the median and the range of each figure.
func (c *slopeProcessesCmd) Run(ctx context.Context) error {
	p := slope.Processes{
		Balancers: c.Balancers, Agents: c.Agents, Listed: c.Listed, Services: c.Services,
		Joining: c.Joining, Window: c.Window,
	}
	return repeat(c.Runs, func(r slope.Report) error { return p.Run(ctx, r) })
}

// repeat runs a measurement the given number of times and prints a table of the
// results.
func repeat(runs int, measure func(slope.Report) error) error {
	var t slope.Table
	for range runs {
		if err := measure(t.Add); err != nil {
			return err
		}
	}
	return t.Write(os.Stdout)
}
