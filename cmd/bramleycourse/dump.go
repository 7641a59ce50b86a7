package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

type dumpCmd struct {
	Metrics bool   `help:"Print the metrics instead of the state."`
	Address string `arg:"" help:"Admin address of a process, ip:port."`
}

// Run prints the state dump or the metrics of a process.
func (c *dumpCmd) Run(ctx context.Context) error {
	path := "/state"
	if c.Metrics {
		path = "/metrics"
	}
	b, err := fetch(ctx, c.Address, path)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(b)
	return err
}

const (
	// adminTimeout bounds one request to an admin server.
	adminTimeout = 2 * time.Second
	// maxDumpBytes bounds a response. The state dump of a balancer with 4,500
	// endpoints of 500 bytes each fits with room to spare.
	maxDumpBytes = 16 << 20
)

// fetch returns the body of a page of an admin server.
func fetch(ctx context.Context, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s answered %s", address, path, resp.Status)
	}
	return io.ReadAll(io.LimitReader(resp.Body, maxDumpBytes))
}
