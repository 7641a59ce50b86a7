package caller

import (
	"crypto/tls"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/budget"
)

// Defaults of the options.
const (
	// DefaultKeepAlive is below 30 s, the shortest UDP timeout common in NATs.
	DefaultKeepAlive = 10 * time.Second
	// DefaultSilence is the shortest time without an answer to a ping after
	// which a path counts as silent. It covers short stalls of either end.
	DefaultSilence = 300 * time.Millisecond
	// DefaultGiveUp is the time without an answer to pings, including pings from
	// new sockets, after which a flow is closed.
	DefaultGiveUp = 5 * time.Second
	// DefaultIdleTimeout is the time after which a flow without requests is closed.
	DefaultIdleTimeout = time.Minute
	// DefaultDialTimeout allows several retransmissions of the first packet.
	DefaultDialTimeout = 2 * time.Second
	// DefaultRequestsPerFlow is about the number of slots of one upstream plus a
	// share of its queue.
	DefaultRequestsPerFlow = 8
	// DefaultFlowsPerService is the maximum number of flows to one service.
	// Requests beyond their capacity share them.
	DefaultFlowsPerService = 16
	// DefaultAttempts is the maximum number of times that a request is sent.
	DefaultAttempts = 4
	// DefaultBodyLimit is the limit in bytes for each request body and each
	// response body kept in memory.
	DefaultBodyLimit = 1 << 20
	// DefaultBackoff and DefaultMaxBackoff bound the wait before a retry.
	DefaultBackoff    = 25 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
)

const (
	// quicIdleTimeout is the time without a packet after which the QUIC library
	// closes a connection.
	quicIdleTimeout = 30 * time.Second
	// maxRepetitions is the maximum number of times that a ticket is sent again
	// after a lost response.
	maxRepetitions = 3
)

type settings struct {
	tls              *tls.Config
	keepAlive        time.Duration
	minAnswerTimeout time.Duration
	giveUpAfter      time.Duration
	idleTimeout      time.Duration
	dialTimeout      time.Duration
	requestsPerFlow  int
	flowsPerService  int
	attempts         int
	bodyLimit        int64
	backoff          time.Duration
	maxBackoff       time.Duration
	budget           budget.Config
}

func defaultSettings() settings {
	return settings{
		tls:              &tls.Config{},
		keepAlive:        DefaultKeepAlive,
		minAnswerTimeout: DefaultSilence,
		giveUpAfter:      DefaultGiveUp,
		idleTimeout:      DefaultIdleTimeout,
		dialTimeout:      DefaultDialTimeout,
		requestsPerFlow:  DefaultRequestsPerFlow,
		flowsPerService:  DefaultFlowsPerService,
		attempts:         DefaultAttempts,
		bodyLimit:        DefaultBodyLimit,
		backoff:          DefaultBackoff,
		maxBackoff:       DefaultMaxBackoff,
		budget:           budget.Default(),
	}
}

// Option changes a setting of a Client.
type Option func(*settings)

// WithTLS sets the TLS configuration. The server name is taken from each URL
// unless it is set here.
func WithTLS(c *tls.Config) Option { return func(s *settings) { s.tls = c.Clone() } }

// WithKeepAlive sets the time after which a flow without traffic sends a packet.
func WithKeepAlive(d time.Duration) Option { return func(s *settings) { s.keepAlive = d } }

// WithSilence sets the shortest time without an answer to a ping after which a
// path counts as silent. Four smoothed round-trip times apply if they are longer.
func WithSilence(d time.Duration) Option { return func(s *settings) { s.minAnswerTimeout = d } }

// WithGiveUp sets the time without an answer to pings, including pings from new
// sockets, after which a flow is closed. Its feed is reopened on another flow,
// requests with a ticket send it again there, and the outcome of other requests
// in progress is unknown.
func WithGiveUp(d time.Duration) Option { return func(s *settings) { s.giveUpAfter = d } }

// WithIdleTimeout sets the time after which a flow without requests is closed.
func WithIdleTimeout(d time.Duration) Option { return func(s *settings) { s.idleTimeout = d } }

// WithDialTimeout limits the time for opening a flow.
func WithDialTimeout(d time.Duration) Option { return func(s *settings) { s.dialTimeout = d } }

// WithRequestsPerFlow sets how many concurrent requests a flow carries before
// another flow is opened.
func WithRequestsPerFlow(n int) Option { return func(s *settings) { s.requestsPerFlow = n } }

// WithFlowsPerService sets the maximum number of flows open for requests to one
// service. Each feed has its own flow, which does not count.
func WithFlowsPerService(n int) Option { return func(s *settings) { s.flowsPerService = n } }

// WithAttempts sets the maximum number of times that a request is sent; 1 turns
// retries off.
func WithAttempts(n int) Option { return func(s *settings) { s.attempts = n } }

// WithBodyLimit sets the largest request body that is kept in memory and the
// largest part of the response to a request with a ticket, in bytes each.
func WithBodyLimit(n int64) Option { return func(s *settings) { s.bodyLimit = n } }

// WithBackoff sets the bounds of the wait before a retry. The wait is random
// between 0 and a bound that starts at first and doubles up to limit.
func WithBackoff(first, limit time.Duration) Option {
	return func(s *settings) { s.backoff, s.maxBackoff = first, limit }
}

// WithRetryBudget sets how many retries are allowed: ratio per request plus
// floor per second, with at most burst saved up.
func WithRetryBudget(ratio, floor, burst float64) Option {
	return func(s *settings) {
		s.budget = budget.Config{Ratio: ratio, FloorPerSecond: floor, Burst: burst}
	}
}
