package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/fabric"
	"github.com/bramleycourse/bramleycourse/internal/store"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

type standinCmd struct {
	Platform platformCmd `cmd:"" help:"The platform's object API."`
	Fabric   fabricCmd   `cmd:"" help:"The fabric that sprays packets over balancers."`
	Upstream upstreamCmd `cmd:"" help:"An upstream of a service."`
}

type platformCmd struct {
	Listen string `help:"TCP address to serve on." required:""`
}

// Run serves the object API until ctx is done.
func (c *platformCmd) Run(ctx context.Context) error {
	return serveHTTP(ctx, c.Listen, store.New())
}

type fabricCmd struct {
	Listen  string   `help:"UDP address that callers use." required:""`
	Targets []string `help:"UDP addresses of the balancers for the service." required:""`
	Control string   `help:"TCP address at which PUT /targets with a JSON list of addresses replaces the targets."`
	Seed    uint64   `help:"Seed of the spraying." default:"1"`
}

// Run sprays the callers' packets over the targets until ctx is done.
func (c *fabricCmd) Run(ctx context.Context) error {
	listen, err := netip.ParseAddrPort(c.Listen)
	if err != nil {
		return err
	}
	targets, err := parseAddrPorts(c.Targets)
	if err != nil {
		return err
	}
	f, err := fabric.New(listen, c.Seed, targets...)
	if err != nil {
		return err
	}
	if c.Control == "" {
		return ignoreCanceled(ctx, f.Run(ctx))
	}
	ctx, stop := context.WithCancelCause(ctx)
	go func() { stop(serveHTTP(ctx, c.Control, controlHandler(f))) }()
	err = ignoreCanceled(ctx, f.Run(ctx))
	if cause := context.Cause(ctx); !errors.Is(cause, context.Canceled) {
		return cause
	}
	return err
}

func parseAddrPorts(texts []string) ([]netip.AddrPort, error) {
	var addrs []netip.AddrPort
	for _, t := range texts {
		a, err := netip.ParseAddrPort(t)
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, a)
	}
	return addrs, nil
}

// controlHandler returns the HTTP handler that replaces the targets of a running
// fabric.
func controlHandler(f *fabric.Fabric) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /targets", func(w http.ResponseWriter, r *http.Request) {
		var texts []string
		err := json.NewDecoder(r.Body).Decode(&texts)
		targets, parseErr := parseAddrPorts(texts)
		if err = errors.Join(err, parseErr); err != nil || len(targets) == 0 {
			http.Error(w, fmt.Sprintf("targets are not a JSON list of ip:port: %v", err), http.StatusBadRequest)
			return
		}
		f.SetTargets(targets...)
	})
	return mux
}

type upstreamCmd struct {
	Listen  string        `help:"TCP address to serve on." required:""`
	Service string        `help:"Name of the service." required:""`
	Work    time.Duration `help:"Time that a short request takes." default:"1ms"`
}

// Run serves the upstream and its counts until ctx is done.
func (c *upstreamCmd) Run(ctx context.Context) error {
	u := stub.New(c.Service, c.Work)
	mux := http.NewServeMux()
	mux.Handle("/", u)
	mux.HandleFunc("/counts", func(w http.ResponseWriter, _ *http.Request) { json.NewEncoder(w).Encode(u.Counts()) })
	return serveHTTP(ctx, c.Listen, mux)
}

const readHeaderTimeout = 5 * time.Second

// serveHTTP serves h until ctx is done.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	s := &http.Server{Addr: addr, Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	return ignoreCanceled(ctx, s.ListenAndServe())
}
