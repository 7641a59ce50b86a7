// Package budget decides whether a request may be retried. Retries are limited
// to a fraction of the requests plus a small constant rate, so that the retries of
// many callers cannot multiply the load of a system that is already overloaded.
package budget

import "time"

// Defaults of the caller library.
const (
	// DefaultRatio allows one retry per ten requests.
	DefaultRatio = 0.1
	// DefaultFloorPerSecond allows one retry per second, in addition to those earned by
	// requests, for callers with few requests.
	DefaultFloorPerSecond = 1.0
	// DefaultBurst is the maximum number of saved retries. It covers the loss of
	// one flow that carries a few requests.
	DefaultBurst = 10.0
)

// roundingError absorbs floating-point errors when tokens add up: the sum of ten
// times 0.1 is less than 1.
const roundingError = 1e-9

// Config holds the limits of a budget.
type Config struct {
	// Ratio is the number of retries earned per request.
	Ratio float64
	// FloorPerSecond is the number of retries earned per second.
	FloorPerSecond float64
	// Burst is the maximum number of saved retries.
	Burst float64
}

// Default returns the limits that the caller library uses by default.
func Default() Config {
	return Config{Ratio: DefaultRatio, FloorPerSecond: DefaultFloorPerSecond, Burst: DefaultBurst}
}

// Budget is a token bucket. In any period with n requests and a length of s
// seconds it allows at most Burst + Ratio·n + FloorPerSecond·s retries. It is
// not safe for concurrent use.
type Budget struct {
	config Config
	// tokens is the number of saved retries, between 0 and config.Burst.
	tokens     float64
	lastRefill time.Time
}

// New returns a budget with Burst saved retries.
func New(c Config, now time.Time) *Budget {
	return &Budget{config: c, tokens: c.Burst, lastRefill: now}
}

// Request counts a request. It is not called for retries.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.add(b.config.Ratio)
}

// Retry takes one retry out of the budget and reports whether one was left.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-roundingError {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// refill adds the retries earned since the last refill. If the clock steps back, it
// adds none.
func (b *Budget) refill(now time.Time) {
	if passed := now.Sub(b.lastRefill); passed > 0 {
		b.add(b.config.FloorPerSecond * passed.Seconds())
		b.lastRefill = now
	}
}

func (b *Budget) add(n float64) { b.tokens = min(b.tokens+n, b.config.Burst) }
