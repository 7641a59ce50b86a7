package agent

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/bramleycourse/bramleycourse/internal/admit"
	"github.com/bramleycourse/bramleycourse/internal/connid"
)

const (
	// idleTimeout is the time after which the flow of a silent caller ends.
	// Feeds stay open as long as the caller acknowledges the keep-alives.
	idleTimeout = 60 * time.Second
	// keepAlivePeriod is the time between two keep-alives.
	keepAlivePeriod = 15 * time.Second
	// requestlessTimeout closes a flow without a request in progress,
	// regardless of keep-alives.
	requestlessTimeout = 5 * time.Minute
	// initialPacketSize, in bytes, leaves room for the encapsulation header in an
	// MTU of 1500 bytes.
	initialPacketSize = 1280
	// maxHeaderBytes bounds the header of a request, in bytes.
	maxHeaderBytes = 64 << 10

	// Receive windows, in bytes. Request bodies are short; 2,000 connections
	// that all fill the initial connection window hold 125 MiB.
	initialStreamWindow = 32 << 10
	maxStreamWindow     = 512 << 10
	initialConnWindow   = 64 << 10
	maxConnWindow       = 1 << 20
	// maxStreams is the number of concurrent request streams of a connection.
	maxStreams = 100
	// maxUniStreams covers the three of HTTP/3 and some of unknown types.
	maxUniStreams = 8

	// maxHandshakesPerSecond is the rate above which callers must validate
	// their address with a Retry. The target load of 24,000 new flows/s over
	// 4,500 agents is about 6 for each.
	maxHandshakesPerSecond = 200
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialPacketSize:              initialPacketSize,
		DisablePathMTUDiscovery:        true,
		InitialStreamReceiveWindow:     initialStreamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: initialConnWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          maxUniStreams,
		// 0-RTT data can be replayed by others, so a request could run twice.
		Allow0RTT: false,
	}
}

// transport returns the QUIC transport on top of hopConn.
func (a *Agent) transport() *quic.Transport {
	reset := quic.StatelessResetKey(a.keys().Current.ResetKey)
	return &quic.Transport{
		Conn:                  a.hop,
		ConnectionIDGenerator: &connIDGenerator{agent: a},
		StatelessResetKey:     &reset,
		VerifySourceAddress:   a.handshakes.requireRetry,
		ConnContext:           a.openFlow,
	}
}

// handshakes counts handshakes to decide when a Retry is required.
type handshakes struct {
	mu    sync.Mutex
	limit rateLimit
	// retries is the number of handshakes that were answered with a Retry.
	retries atomic.Uint64
}

func (h *handshakes) requireRetry(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit.allow(time.Now()) {
		return false
	}
	h.retries.Add(1)
	return true
}

// flow is the agent's state of a QUIC connection.
type flow struct {
	server    *server
	opened    time.Time
	requested atomic.Bool
}

type flowContextKey struct{}

// errFlowRefused makes quic-go refuse a connection.
var errFlowRefused = errors.New("agent accepts no new flows")

// openFlow counts a new connection, or refuses it.
func (a *Agent) openFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !a.admission.openFlow() {
		a.refusals.add("flow", "refused")
		return nil, errFlowRefused
	}
	f := &flow{server: a.servers.flowOpened(), opened: a.admission.now()}
	context.AfterFunc(ctx, func() {
		a.admission.flowEvent((*admit.Gate).FlowClosed)
		a.servers.flowClosed(f.server.key)
	})
	return context.WithValue(ctx, flowContextKey{}, f), nil
}

// firstRequestTimeout is how long the gate expects the first request of a flow.
// The gate does not tell flows apart, so a request after that time would end
// another flow's expectation. The constant of the same name in package admit,
// which ends the expectation, must match.
const firstRequestTimeout = time.Second

// flowRequested reports the first request of a connection to the gate if it
// arrives within firstRequestTimeout.
func (a *Agent) flowRequested(ctx context.Context) {
	f, ok := ctx.Value(flowContextKey{}).(*flow)
	if ok && f.requested.CompareAndSwap(false, true) && a.admission.now().Sub(f.opened) < firstRequestTimeout {
		a.admission.flowEvent((*admit.Gate).FlowRequested)
	}
}

// connIDGenerator generates connection IDs that encode the agent's address,
// instance and service.
type connIDGenerator struct {
	agent   *Agent
	counter atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (s *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	id := s.agent.keys().Encode(connid.Target{Endpoint: s.agent.self, Service: s.agent.serviceTag}, s.counter.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (s *connIDGenerator) ConnectionIDLen() int { return connid.Size }
