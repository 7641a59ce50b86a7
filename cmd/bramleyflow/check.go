package main

import (
	"context"
	"io"

	"github.com/bramleycourse/bramleycourse/internal/lint"
	"github.com/bramleycourse/bramleycourse/internal/node"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/platform"
)

type checkCmd struct{ lint.Flags }

// run checks a configuration. The store is that of the settings file unless a flag
// names another.
func (c *checkCmd) run(settings string, w io.Writer) error {
	inForce := func(ctx context.Context, file []byte) ([]byte, []lint.Finding, error) {
		url := c.Platform
		if url == "" {
			s, err := platform.LoadSettings(settings)
			if err != nil {
				return nil, nil, err
			}
			url = s.Store
		}
		store := plat.New(url, storeTimeout, plat.WithWire(platform.Wire), plat.WithTransport(node.Transport()))
		return platform.ConfigInForce(ctx, store, file)
	}
	f := lint.Format{Check: platform.CheckConfig, ReadInForce: inForce, Compare: platform.CompareConfigs}
	return c.Run(context.Background(), w, f)
}
