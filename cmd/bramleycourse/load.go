package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/load"
)

type loadCmd struct {
	Target      []string      `help:"Service address, NAME=IP:PORT; repeated." required:""`
	CA          string        `help:"File with the certificates to trust, PEM." required:""`
	ServerName  string        `help:"Name in the service's certificate." default:"localhost"`
	Feeds       int           `help:"Feeds per target." default:"0"`
	Downloads   int           `help:"Download flows per target." default:"0"`
	Shorts      int           `help:"Flows for short requests per target." default:"0"`
	Tiles       int           `help:"Flows for tiles per target." default:"0"`
	Tickets     int           `help:"Flows for updates with tickets per target." default:"0"`
	ShortRate   float64       `help:"Short requests per second and target." default:"100"`
	TileRate    float64       `help:"Tiles per second and target." default:"100"`
	TicketRate  float64       `help:"Updates per second and target." default:"10"`
	SheetBytes  int           `help:"Size of a download in octets." default:"1000000"`
	SheetRate   float64       `help:"Speed of a download in octets per second; 0 means no limit." default:"0"`
	Duration    time.Duration `help:"Length of the run." default:"10s"`
	Timeout     time.Duration `help:"Deadline of one request." default:"5s"`
	Seed        uint64        `help:"Seed of the arrivals." default:"1"`
	AllowRemote bool          `help:"Allow addresses that are not loopback."`
	Stub        []string      `help:"Base URL of an upstream stand-in to collect counts from; repeated."`
	JSON        bool          `name:"json" help:"Print the result as one JSON object on the last line."`
	Quiet       bool          `help:"Show no progress."`
}

// Run generates the load and returns an error if a flow broke, a connection was
// lost, an answer was wrong or the counts of the stubs do not match.
func (c *loadCmd) Run(ctx context.Context) error {
	conf, err := c.config()
	if err != nil {
		return err
	}
	s, err := load.Run(ctx, conf)
	if err != nil {
		return err
	}
	s.Print(os.Stdout)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(s); err != nil {
			return err
		}
	}
	if s.Failed() {
		return fmt.Errorf("%d flows broke, %d connections were lost, %d answers were wrong, or a count of the stubs does not fit", s.BrokenFlows, s.LostConnections, s.WrongAnswers)
	}
	return nil
}

func showProgress(p load.Progress) {
	fmt.Fprintf(os.Stderr, "%3.0f s: %d requests, %d in progress, %d failures\n", p.Elapsed.Seconds(), p.Requests, p.InFlight, p.Failures)
}

// config builds the load configuration from the flags.
func (c *loadCmd) config() (load.Config, error) {
	pem, err := os.ReadFile(c.CA)
	if err != nil {
		return load.Config{}, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return load.Config{}, fmt.Errorf("%s contains no PEM certificate", c.CA)
	}
	conf := load.Config{
		Duration: c.Duration, Timeout: c.Timeout, Seed: c.Seed,
		TLS:         &tls.Config{RootCAs: pool, ServerName: c.ServerName},
		AllowRemote: c.AllowRemote, Stubs: c.Stub,
	}
	if !c.Quiet {
		conf.Progress = showProgress
	}
	mix := load.Mix{
		Feeds: c.Feeds, Downloads: c.Downloads, Shorts: c.Shorts, Tiles: c.Tiles, Tickets: c.Tickets,
		ShortRate: c.ShortRate, TileRate: c.TileRate, TicketRate: c.TicketRate,
		SheetBytes: c.SheetBytes, SheetRate: c.SheetRate,
	}
	for _, t := range c.Target {
		name, addr, _ := strings.Cut(t, "=")
		a, err := netip.ParseAddrPort(addr)
		if err != nil {
			return load.Config{}, fmt.Errorf("target %q is not NAME=IP:PORT: %w", t, err)
		}
		conf.Targets = append(conf.Targets, load.Target{Service: name, Addr: a, Mix: mix})
	}
	return conf, nil
}
