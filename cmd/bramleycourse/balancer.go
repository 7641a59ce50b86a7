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

// Run runs a balancer until it is stopped by a signal.
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
	return ignoreCanceled(ctx, b.Run(ctx, signals))
}

// ignoreCanceled returns nil if ctx was canceled, and err otherwise.
func ignoreCanceled(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
