package proc

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"
)

// Identity identifies the process that serves an admin address.
type Identity struct {
	Role      string    `json:"role"`
	Name      string    `json:"name"`
	StartedAt time.Time `json:"startedAt"`
	// UptimeSeconds is the time since StartedAt by the monotonic clock of the process.
	UptimeSeconds float64 `json:"uptimeSeconds"`
}

// Admin adds a service that serves /state, /process, /metrics and /healthz on a
// listener until the context ends. The state function returns the value that /state
// encodes as JSON.
func (f *Frame) Admin(l net.Listener, state func() any) {
	s := &http.Server{
		Handler:           f.adminHandler(state),
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          log.New(errorLogWriter{f.Log}, "", 0),
	}
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

// AdminAddr returns the address at which others reach the admin server. For a
// listener on the unspecified address, the IP is the given one.
func AdminAddr(l net.Listener, ip netip.Addr) netip.AddrPort {
	a := l.Addr().(*net.TCPAddr).AddrPort()
	if a.Addr().IsUnspecified() {
		return netip.AddrPortFrom(ip, a.Port())
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (f *Frame) adminHandler(state func() any) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", f.Metrics())
	mux.HandleFunc("GET /healthz", f.serveHealth)
	mux.HandleFunc("GET /process", func(w http.ResponseWriter, _ *http.Request) { f.serveJSON(w, f.identity()) })
	mux.HandleFunc("GET /state", func(w http.ResponseWriter, _ *http.Request) { f.serveJSON(w, state()) })
	return mux
}

// Draining makes /healthz respond with status 503 from now on, so that a network
// fabric that uses it as a health check sends no new traffic to the process.
func (f *Frame) Draining() { f.draining.Store(true) }

func (f *Frame) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if f.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		io.WriteString(w, "draining\n")
		return
	}
	io.WriteString(w, "ok\n")
}

func (f *Frame) identity() Identity {
	return Identity{Role: f.role, Name: f.name, StartedAt: f.started, UptimeSeconds: time.Since(f.started).Seconds()}
}

// serveJSON encodes a value completely before it writes the response, so that an
// encoding error results in status 500 and not in a truncated body with status 200.
func (f *Frame) serveJSON(w http.ResponseWriter, v any) {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		f.Log.WithError(err).Error("state dump failed")
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(b.Bytes())
}

// errorLogWriter logs the messages of net/http, which include panics of handlers, as
// events of one line each.
type errorLogWriter struct{ log *logrus.Entry }

// Write implements io.Writer.
func (l errorLogWriter) Write(b []byte) (int, error) {
	l.log.WithField("message", string(bytes.TrimSpace(b))).Warn("admin server event")
	return len(b), nil
}
