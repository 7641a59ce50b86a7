// Package proc is the frame of every process: logger, metrics, admin server,
// supervisor tree and signals.
package proc

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
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

	// A duty that fails is restarted at once. When failures come faster than
	// the decay takes them away (failureThreshold within about failureDecay
	// seconds), restarts wait for failureBackoff. Packets are not forwarded
	// meanwhile, so it is short; the library's default is 15 s.
	failureThreshold = 5
	failureDecay     = 5
	failureBackoff   = time.Second
)

// Frame holds what every process has.
type Frame struct {
	// Log writes one key=value line for each event.
	Log *logrus.Entry
	// Scope is the root scope of the metrics.
	Scope tally.Scope

	role, name string
	started    time.Time
	draining   atomic.Bool
	tree       *suture.Supervisor
	reporter   promreporter.Reporter
	closer     io.Closer
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
	f := &Frame{Log: log, Scope: scope, role: role, name: name, started: time.Now(), reporter: reporter, closer: closer}
	f.tree = suture.New(role, suture.Spec{
		EventHook:        f.event,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   failureBackoff,
	})
	return f
}

// LevelError reports an unknown log level.
type LevelError struct{ Level string }

// Error implements error.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not debug, info, warn or error", e.Level)
}

// SetLevel sets the lowest level that is logged: debug, info, warn or error.
func (f *Frame) SetLevel(level string) error {
	switch level {
	case "debug", "info", "warn", "error":
	default:
		return &LevelError{level}
	}
	l, err := logrus.ParseLevel(level)
	if err != nil {
		return err
	}
	f.Log.Logger.SetLevel(l)
	return nil
}

// event logs and counts what happens to supervised duties.
func (f *Frame) event(e suture.Event) {
	kind, level := "other", logrus.WarnLevel
	switch e.Type() {
	case suture.EventTypeServicePanic:
		kind, level = "panic", logrus.ErrorLevel
	case suture.EventTypeServiceTerminate:
		kind = "ended"
	case suture.EventTypeBackoff:
		kind = "backoff"
	case suture.EventTypeResume:
		kind, level = "resume", logrus.InfoLevel
	case suture.EventTypeStopTimeout:
		kind = "stopTimeout"
	}
	f.Scope.Tagged(map[string]string{"event": kind}).Counter("duty_events").Inc(1)
	f.Log.WithFields(e.Map()).WithField("event", kind).Log(level, "supervisor event")
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

// RunDrained runs the supervisor tree until the context ends, then drains, and
// then ends the tree. A tree that ends by itself is not drained.
func (f *Frame) RunDrained(ctx context.Context, drain func()) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(life) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drain()
	end()
	<-ended
	return ctx.Err()
}
