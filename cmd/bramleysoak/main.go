// Command bramleysoak runs bramleyflow processes on loopback and injects random
// faults.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/alecthomas/kong"

	"github.com/bramleycourse/bramleycourse/platform/soak"
)

type cli struct {
	Seed        uint64        `help:"First seed." default:"1"`
	Count       int           `help:"Number of seeds." default:"1"`
	Duration    time.Duration `help:"Time with faults of each run." default:"20s"`
	Balancers   int           `help:"Number of balancers." default:"3"`
	Agents      int           `help:"Number of agents." default:"7"`
	Loads       int           `help:"Number of callers." default:"40"`
	Binary      string        `help:"Path of the program." default:"target/bramleyflow" type:"existingfile"`
	Dir         string        `help:"Folder for settings and logs; a run that fails keeps them." default:"" type:"path"`
	Links       bool          `help:"Harm datagrams between processes too." default:"true" negatable:""`
	Stale       bool          `help:"Make evidence arrive late too: long pauses, stalls, restarts in turn, late and odd reports." default:"true" negatable:""`
	Silent      bool          `help:"Let connections fall silent too: links between processes, and reports of upstreams." default:"true" negatable:""`
	Only        []string      `help:"Kinds of faults to draw from; all if none is named."`
	Evacuations bool          `help:"Evacuate places too."`
	Plot        bool          `help:"Print the service over time."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("bramleysoak"), kong.Description("Random faults against the real programs."), kong.UsageOnError())
	failed, err := c.run()
	k.FatalIfErrorf(err)
	if failed > 0 {
		os.Exit(1)
	}
}

// run runs all seeds and returns the number of runs that failed. It keeps the
// settings and logs of failed runs.
func (c *cli) run() (failed int, err error) {
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return 0, err
		}
	}
	for n := range c.Count {
		seed := c.Seed + uint64(n)
		runDir := filepath.Join(dir, fmt.Sprintf("seed%d", seed))
		r, err := soak.Run(soak.Config{
			Seed: seed, Duration: c.Duration, Balancers: c.Balancers, Agents: c.Agents,
			Binary: c.Binary, Dir: runDir, Loads: c.Loads, Links: c.Links, Evacuations: c.Evacuations, Stale: c.Stale, Silent: c.Silent, Only: c.Only,
		})
		if err != nil {
			return failed, err
		}
		fmt.Print(r)
		if c.Plot || len(r.Failures) > 0 {
			fmt.Print(r.Plot())
		}
		if len(r.Failures) > 0 {
			failed++
			fmt.Println("  logs:", runDir)
			continue
		}
		if err := os.RemoveAll(runDir); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
