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
	// idleTimeout is the time after which a silent caller's flow ends. Feeds
	// stay open as long as the caller answers the keep-alives.
	idleTimeout     = 60 * time.Second
	keepAlivePeriod = 15 * time.Second
	// emptyTimeout ends a flow that holds no request, keep-alives or not.
	emptyTimeout = 5 * time.Minute
	// packetSize leaves room for the hop header in a 1500-octet MTU.
	packetSize = 1280
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10

	// Receive windows, in octets. Request bodies are short: 2,000 connections
	// that all fill the initial connection window hold 125 MiB.
	initialStreamWindow = 32 << 10
	maxStreamWindow     = 512 << 10
	initialConnWindow   = 64 << 10
	maxConnWindow       = 1 << 20
	maxStreams          = 100
	// maxUniStreams covers the three of HTTP/3 and some of unknown types.
	maxUniStreams = 8

	// maxHandshakes is the number of handshakes in a second above which callers
	// must prove their address with a Retry first. The target of 24,000 new
	// flows/s over 4,500 agents is about 6 for each.
	maxHandshakes = 200
)

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialPacketSize:              packetSize,
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

// transport returns the QUIC transport over the hop.
func (a *Agent) transport() *quic.Transport {
	reset := quic.StatelessResetKey(a.keys().Current.ResetKey)
	return &quic.Transport{
		Conn:                  a.hop,
		ConnectionIDGenerator: &idSource{agent: a},
		StatelessResetKey:     &reset,
		VerifySourceAddress:   a.handshakes.verify,
		ConnContext:           a.openFlow,
	}
}

// handshakes counts handshakes for the Retry threshold.
type handshakes struct {
	mu    sync.Mutex
	limit rateLimit
	// retries is the number of handshakes that were answered with a Retry.
	retries atomic.Uint64
}

func (h *handshakes) verify(net.Addr) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.limit.allow(time.Now()) {
		return false
	}
	h.retries.Add(1)
	return true
}

// flow is the state of one QUIC connection.
type flow struct {
	server    *server
	opened    time.Time
	requested atomic.Bool
}

type flowKey struct{}

// errFlowRefused makes the QUIC server refuse a connection.
var errFlowRefused = errors.New("agent takes no new flow")

// openFlow counts a new connection, or refuses it.
func (a *Agent) openFlow(ctx context.Context, _ *quic.ClientInfo) (context.Context, error) {
	if !a.gate.openFlow() {
		a.refusals.add("flow", "refused")
		return nil, errFlowRefused
	}
	f := &flow{server: a.servers.flowOpened(), opened: a.gate.now()}
	context.AfterFunc(ctx, func() {
		a.gate.flow((*admit.Gate).FlowClosed)
		a.servers.flowClosed(f.server.key)
	})
	return context.WithValue(ctx, flowKey{}, f), nil
}

// expectTime is how long the gate expects the first request of a flow. It does
// not tell flows apart, so a later request would end another flow's expectation.
const expectTime = time.Second

// flowRequested tells the gate about the first request of a connection, unless
// the gate expects it no longer.
func (a *Agent) flowRequested(ctx context.Context) {
	f, ok := ctx.Value(flowKey{}).(*flow)
	if ok && f.requested.CompareAndSwap(false, true) && a.gate.now().Sub(f.opened) < expectTime {
		a.gate.flow((*admit.Gate).FlowRequested)
	}
}

// idSource makes connection IDs that name the agent.
type idSource struct {
	agent   *Agent
	counter atomic.Uint32
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (s *idSource) GenerateConnectionID() (quic.ConnectionID, error) {
	id := s.agent.keys().Encode(connid.Target{Endpoint: s.agent.self, Service: s.agent.tag}, s.counter.Add(1))
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (s *idSource) ConnectionIDLen() int { return connid.Size }
