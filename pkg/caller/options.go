package caller

import (
	"crypto/tls"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/budget"
)

// Defaults of the options.
const (
	// DefaultKeepAlive is below the shortest usual timeout of address
	// translators for UDP, which is 30 s.
	DefaultKeepAlive = 10 * time.Second
	// DefaultSilence is the shortest time without an answer after which a path
	// counts as silent. It covers short stalls of either end.
	DefaultSilence = 300 * time.Millisecond
	// DefaultGiveUp is the time without an answer to pings after which a flow
	// that stays silent on new sockets too is closed.
	DefaultGiveUp = 5 * time.Second
	// DefaultIdleTimeout closes flows without requests.
	DefaultIdleTimeout = time.Minute
	// DefaultDialTimeout leaves room for several retransmissions of the first packet.
	DefaultDialTimeout = 2 * time.Second
	// DefaultRequestsPerFlow is about the number of slots of an upstream with
	// its share of the queue.
	DefaultRequestsPerFlow = 8
	// DefaultFlowsPerService bounds the flows to one service. Further requests
	// share them.
	DefaultFlowsPerService = 16
	// DefaultAttempts is how often a request is sent at most.
	DefaultAttempts = 4
	// DefaultBodyLimit holds for each request and answer kept in memory.
	DefaultBodyLimit = 1 << 20
	// DefaultBackoff and DefaultMaxBackoff bound the wait before a retry.
	DefaultBackoff    = 25 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
)

const (
	// maxIdle is the time without a packet after which QUIC gives up a flow.
	maxIdle = 30 * time.Second
	// maxRepetitions bounds how often a ticket is repeated after a lost answer.
	maxRepetitions = 3
)

type settings struct {
	tls             *tls.Config
	keepAlive       time.Duration
	silence         time.Duration
	giveUp          time.Duration
	idleTimeout     time.Duration
	dialTimeout     time.Duration
	requestsPerFlow int
	flowsPerService int
	attempts        int
	bodyLimit       int64
	backoff         time.Duration
	maxBackoff      time.Duration
	budget          budget.Config
}

func defaults() settings {
	return settings{
		tls:             &tls.Config{},
		keepAlive:       DefaultKeepAlive,
		silence:         DefaultSilence,
		giveUp:          DefaultGiveUp,
		idleTimeout:     DefaultIdleTimeout,
		dialTimeout:     DefaultDialTimeout,
		requestsPerFlow: DefaultRequestsPerFlow,
		flowsPerService: DefaultFlowsPerService,
		attempts:        DefaultAttempts,
		bodyLimit:       DefaultBodyLimit,
		backoff:         DefaultBackoff,
		maxBackoff:      DefaultMaxBackoff,
		budget:          budget.Default(),
	}
}

// Option changes a setting of a Client.
type Option func(*settings)

// WithTLS sets the TLS settings. The server name is taken from each URL unless
// it is set here.
func WithTLS(c *tls.Config) Option { return func(s *settings) { s.tls = c.Clone() } }

// WithKeepAlive sets the time after which an unused flow sends a packet.
func WithKeepAlive(d time.Duration) Option { return func(s *settings) { s.keepAlive = d } }

// WithSilence sets the shortest time without an answer after which a path
// counts as silent; four smoothed round trips hold if they are longer.
func WithSilence(d time.Duration) Option { return func(s *settings) { s.silence = d } }

// WithGiveUp sets the time without an answer to pings, also from new sockets,
// after which a flow is closed. A feed opens again on another flow, a request
// with a ticket repeats the ticket there, and the outcome of other requests in
// progress is unknown.
func WithGiveUp(d time.Duration) Option { return func(s *settings) { s.giveUp = d } }

// WithIdleTimeout sets the time after which a flow without requests is closed.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithDialTimeout sets the time to open a flow.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithRequestsPerFlow sets how many requests a flow carries before another is opened.
func WithRequestsPerFlow(n int) Option { return func(s *settings) { s.requestsPerFlow = n } }

// WithFlowsPerService sets how many flows to one service are open for requests
// at most. Each feed has a flow of its own, which does not count.
func WithFlowsPerService(n int) Option { return func(s *settings) { s.flowsPerService = n } }

// WithAttempts sets how often a request is sent at most; 1 turns retries off.
func WithAttempts(n int) Option { return func(s *settings) { s.attempts = n } }

// WithBodyLimit sets the largest request body and the largest answer to a
// request with a ticket that are kept in memory, in octets each.
func WithBodyLimit(n int64) Option { return func(s *settings) { s.bodyLimit = n } }

// WithBackoff sets the bounds of the wait before a retry. The wait is drawn
// between 0 and a limit that starts at the first value and doubles.
func WithBackoff(first, limit time.Duration) Option {
	return func(s *settings) { s.backoff, s.maxBackoff = first, limit }
}

// WithRetryBudget sets how many retries are allowed: ratio for each request,
// plus floor for each second, with at most burst saved up.
func WithRetryBudget(ratio, floor, burst float64) Option {
	return func(s *settings) {
		s.budget = budget.Config{Ratio: ratio, FloorPerSecond: floor, Burst: burst}
	}
}
