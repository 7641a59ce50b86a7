package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/bramleycourse/bramleycourse/internal/agent"
	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/proc"
)

type agentCmd struct {
	Settings string `arg:"" help:"Settings file, JSON."`
}

// memoryBudget is the memory use, in bytes, at which the garbage collector's target
// percentage reaches its minimum. With 2,000 feeds the runtime holds about twice the
// budget; the goal is 256 MB resident.
const memoryBudget = 120 << 20

// Run runs an agent until it is stopped by a signal.
func (c *agentCmd) Run(ctx context.Context) error {
	s, err := config.LoadAgent(c.Settings)
	if err != nil {
		return err
	}
	f := proc.New("agent", s.Service, os.Stderr)
	if err := f.SetLevel(s.LogLevel); err != nil {
		return err
	}
	if os.Getenv("GOGC") == "" {
		f.Add("memory budget", proc.KeepMemory(memoryBudget))
	}
	a, err := agent.New(s, f)
	if err != nil {
		return err
	}
	return ignoreCanceled(ctx, a.Run(ctx, signals))
}

// signals returns a channel of the stop signals received after the call.
func signals() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGINT, syscall.SIGTERM)
	return c
}
