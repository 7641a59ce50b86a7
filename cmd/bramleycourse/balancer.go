package main

import (
	"context"
	"os"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/relay"
)

type balancerCmd struct {
	Settings string `arg:"" help:"Settings file, JSON."`
}

// Run runs a balancer until it is told to stop.
func (c *balancerCmd) Run(ctx context.Context) error {
	s, err := config.LoadBalancer(c.Settings)
	if err != nil {
		return err
	}
	f := proc.New("balancer", s.Name, os.Stderr)
	if err := f.SetLevel(s.LogLevel); err != nil {
		return err
	}
	b, err := relay.New(s, f)
	if err != nil {
		return err
	}
	return ended(ctx, b.Run(ctx, signals))
}

// ended turns the error of a context that was ended on purpose into nil.
func ended(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
