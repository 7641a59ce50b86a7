package main

import (
	"os"

	"github.com/bramleycourse/bramleycourse/internal/trial"
)

type trialCmd struct {
	Seed     uint64 `help:"Seed of arrivals and service times." default:"1"`
	Flows    int    `help:"Flows for each policy, scenario and size." default:"200000"`
	All      bool   `help:"Run every scenario, not only the standard one."`
	JSON     bool   `name:"json" help:"Print JSON."`
	Outage   bool   `help:"Play the return after a power loss and compare with an oracle."`
	Speeds   bool   `help:"Play upstreams of different speeds, and compare with a policy that knows the speeds."`
	Pressure bool   `help:"Play loads above the capacity, without and with early rejection, and compare with an oracle."`

	Plot string `help:"Write a chart of the standard scenario to this file, for example trial.svg."`
}

// Run compares placement policies, or plays outages, and prints the results.
func (c *trialCmd) Run() error {
	if c.Outage || c.Pressure {
		scenes := trial.Outages()
		if c.Pressure {
			scenes = trial.Pressures()
		}
		ts := trial.RunOutages(scenes, c.Seed)
		if c.JSON {
			return printJSON(os.Stdout, ts)
		}
		return trial.WriteOutages(os.Stdout, ts)
	}
	if c.Speeds {
		ts := trial.RunSpeeds(trial.SpeedScenarios(), c.Seed)
		if c.JSON {
			return printJSON(os.Stdout, ts)
		}
		return trial.WriteSpeeds(os.Stdout, ts)
	}
	scenarios := trial.Scenarios()
	if !c.All {
		scenarios = scenarios[:1]
	}
	ts := trial.Run(scenarios, c.Seed, c.Flows)
	if c.Plot != "" {
		if err := trial.Plot(c.Plot, scenarios[0].Name, ts); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(os.Stdout, ts)
	}
	return trial.Write(os.Stdout, ts)
}
