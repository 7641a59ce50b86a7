// Package proc provides what every process has: a logger, metrics, an admin server, a
// supervisor of its services, and reloading of files.
package proc

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/scrape"
)

const (
	readHeaderTimeout = 5 * time.Second

	// A failed service is restarted at once. After about failureThreshold failures
	// within failureDecay seconds, restarts wait for failureBackoff. It is shorter
	// than the library's default of 15 s because packets are not forwarded meanwhile.
	failureThreshold = 5
	failureDecay     = 5
	failureBackoff   = time.Second
)

// Frame holds the logger, metrics, admin server and supervisor of a process.
type Frame struct {
	// Log writes key=value lines, one per event.
	Log *logrus.Entry
	// Scope is the root scope of the metrics.
	Scope tally.Scope

	role, name string
	started    time.Time
	draining   atomic.Bool
	supervisor *suture.Supervisor
	page       *scrape.Page
}

// New returns the frame of a process with the given role and name. It logs to out.
func New(role, name string, out io.Writer) *Frame {
	l := logrus.New()
	l.SetOutput(out)
	l.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	log := l.WithFields(logrus.Fields{"role": role, "name": name})
	page := scrape.New("bramleycourse", map[string]string{"role": role})
	f := &Frame{Log: log, Scope: page.Scope(), role: role, name: name, started: time.Now(), page: page}
	f.describe()
	f.supervisor = suture.New(role, suture.Spec{
		EventHook:        f.handleEvent,
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

// handleEvent logs and counts an event of the supervisor.
func (f *Frame) handleEvent(e suture.Event) {
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
	f.countEvent(kind, 1)
	f.Log.WithFields(e.Map()).WithField("event", kind).Log(level, "supervisor event")
}

// Service is a goroutine in the supervisor tree that runs a function; it is not a
// service of the load balancer. The supervisor restarts it if the function returns
// before its context ends.
type Service struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service.
func (s Service) Serve(ctx context.Context) error { return s.Run(ctx) }

// String returns the name of the service for supervisor events.
func (s Service) String() string { return s.Name }

// Add adds a supervised service.
func (f *Frame) Add(name string, run func(ctx context.Context) error) {
	f.supervisor.Add(Service{Name: name, Run: run})
}

// Run runs the supervisor and its services until the context ends.
func (f *Frame) Run(ctx context.Context) error {
	defer f.page.Close()
	return f.supervisor.Serve(ctx)
}

// RunDrained runs the services until the context ends, then calls drain while they
// still run, and then ends them. If the supervisor ends before the context, drain is
// not called.
func (f *Frame) RunDrained(ctx context.Context, drain func()) error {
	servicesCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- f.Run(servicesCtx) }()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	drain()
	cancel()
	<-ended
	return ctx.Err()
}
