package main

import (
	"os"

	"github.com/bramleycourse/bramleycourse/internal/trial"
)

type trialCmd struct {
	Seed  uint64 `help:"Seed of arrivals and service times." default:"1"`
	Flows int    `help:"Flows for each policy, scene and size." default:"200000"`
	All   bool   `help:"Run every scene, not only the standard one."`
	JSON  bool   `name:"json" help:"Print JSON."`
	Plot  string `help:"Write a chart of the standard scene to this file, for example trial.svg."`
}

// Run compares placement policies and prints the results.
func (c *trialCmd) Run() error {
	scenes := trial.Scenes()
	if !c.All {
		scenes = scenes[:1]
	}
	ts := trial.Run(scenes, c.Seed, c.Flows)
	if c.Plot != "" {
		if err := trial.Plot(c.Plot, scenes[0].Name, ts); err != nil {
			return err
		}
	}
	if c.JSON {
		return printJSON(os.Stdout, ts)
	}
	return trial.Write(os.Stdout, ts)
}
