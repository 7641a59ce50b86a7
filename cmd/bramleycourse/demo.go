package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/demo"
)

type demoCmd struct {
	Steady time.Duration `help:"Time under load before the replacement." default:"15s"`
	Settle time.Duration `help:"Time under load after the replacement." default:"7s"`
	Logs   bool          `help:"Show the log events of all balancers and agents."`
	Quiet  bool          `help:"Show no progress."`
	JSON   bool          `name:"json" help:"Print the result as one JSON object on the last line, too."`
}

// Help returns the help text.
func (c *demoCmd) Help() string {
	return "Runs a platform stand-in, three balancers, the services of two example users and callers in this process, on loopback. " +
		"Replaces a balancer and an upstream of each service under load. " +
		"Exit status: 0 if no flow broke and every count fits, else 1."
}

// Run runs the demo and returns an error if a flow broke, an answer was wrong or
// a guarantee was violated.
func (c *demoCmd) Run(ctx context.Context) error {
	o := demo.Options{Steady: c.Steady, Settle: c.Settle}
	if c.Logs {
		o.Log = os.Stderr
	}
	if !c.Quiet {
		o.Progress = func(line string) { fmt.Fprintln(os.Stderr, line) }
	}
	r, err := demo.Run(ctx, o)
	if err != nil {
		return err
	}
	r.Print(os.Stdout)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
			return err
		}
	}
	if r.Failed() {
		return fmt.Errorf("a flow broke, an answer was wrong, or a guarantee did not hold; see the counts")
	}
	return nil
}
