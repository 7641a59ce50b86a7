// Package proc is the frame of every process: logger, metrics, admin server,
// supervisor tree and signals.
package proc

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

const (
	metricsInterval   = time.Second
	readHeaderTimeout = 5 * time.Second
)

// Frame holds what every process has.
type Frame struct {
	// Log writes one key=value line for each event.
	Log *logrus.Entry
	// Scope is the root scope of the metrics.
	Scope tally.Scope

	tree     *suture.Supervisor
	reporter promreporter.Reporter
	closer   io.Closer
}

// New returns the frame of a process with the given role and name.
func New(role, name string, out io.Writer) *Frame {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	log := l.WithFields(logrus.Fields{"role": role, "name": name})
	registry := prometheus.NewRegistry()
	reporter := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "bramleycourse",
		Tags:           map[string]string{"role": role},
		CachedReporter: reporter,
		Separator:      promreporter.DefaultSeparator,
	}, metricsInterval)
	tree := suture.New(role, suture.Spec{
		EventHook: func(e suture.Event) { log.WithFields(e.Map()).Warn("supervisor event") },
	})
	return &Frame{Log: log, Scope: scope, tree: tree, reporter: reporter, closer: closer}
}

// Service adapts a function to a supervised service. The supervisor restarts
// it when it returns before its context ends.
type Service struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String names the service in supervisor events.
func (s Service) String() string { return s.Name }

// Add puts a duty under supervision.
func (f *Frame) Add(name string, run func(ctx context.Context) error) {
	f.tree.Add(Service{Name: name, Run: run})
}

// Run runs the supervisor tree until the context ends.
func (f *Frame) Run(ctx context.Context) error {
	defer f.closer.Close()
	return f.tree.Serve(ctx)
}

// Admin serves /state, /metrics and /healthz on a listener until the context
// ends. The state function returns a value that is dumped as JSON.
func (f *Frame) Admin(l net.Listener, state func() any) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", f.reporter.HTTPHandler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.Encode(state())
	})
	s := &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	f.Add("admin server", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { s.Close() })
		defer stop()
		err := s.Serve(l)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return err
	})
}
