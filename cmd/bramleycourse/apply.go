package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

type applyCmd struct {
	Platform string `help:"Base URL of the platform." required:""`
	File     string `arg:"" help:"Declaration, JSON."`
}

type configObject struct {
	Generation  uint64          `json:"generation"`
	Writer      string          `json:"writer"`
	Declaration json.RawMessage `json:"declaration"`
}

const platformTimeout = 2 * time.Second

// Run writes the declaration to the platform with the next generation.
func (c *applyCmd) Run(ctx context.Context) error {
	b, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	d, err := decl.Parse(b)
	if err != nil {
		return err
	}
	client := plat.New(c.Platform, platformTimeout)
	old, err := client.Get(ctx, plat.KindConfig, d.Name)
	var (
		missing *plat.NotFoundError
		current configObject
	)
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if err == nil {
		if err := json.Unmarshal(old.Value, &current); err != nil {
			return err
		}
	}
	next := configObject{Generation: current.Generation + 1, Declaration: b}
	if _, err := client.Put(ctx, plat.KindConfig, d.Name, next, old.Version); err != nil {
		return err
	}
	fmt.Printf("generation %d accepted\n", next.Generation)
	return nil
}
