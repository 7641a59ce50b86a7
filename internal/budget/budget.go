// Package budget decides whether a request may be retried. Retries are limited
// to a share of the requests plus a small floor, so that retries of many
// callers cannot multiply the load of a system that is already overloaded.
package budget

import "time"

// Defaults of the caller library.
const (
	// DefaultRatio allows one retry for ten requests.
	DefaultRatio = 0.1
	// DefaultFloor lets a caller with few requests retry once a second.
	DefaultFloor = 1.0
	// DefaultBurst is the most retries that can be saved up. It covers the
	// loss of one flow that carries a few requests.
	DefaultBurst = 10.0
)

// rounding absorbs the error of adding shares: ten times 0.1 is less than 1 in
// binary floating point.
const rounding = 1e-9

// Config holds the limits of a budget.
type Config struct {
	// Ratio is the number of retries earned by one request.
	Ratio float64
	// FloorPerSecond is the number of retries earned by one second.
	FloorPerSecond float64
	// Burst is the most retries that can be saved up.
	Burst float64
}

// Default returns the limits that the caller library uses unless told otherwise.
func Default() Config {
	return Config{Ratio: DefaultRatio, FloorPerSecond: DefaultFloor, Burst: DefaultBurst}
}

// Budget is a token bucket. In any period with n requests and a length of s
// seconds it allows at most Burst + Ratio·n + FloorPerSecond·s retries. It is
// not safe for concurrent use.
type Budget struct {
	config Config
	// tokens lies between 0 and config.Burst.
	tokens float64
	last   time.Time
}

// New returns a full budget.
func New(c Config, now time.Time) *Budget {
	return &Budget{config: c, tokens: c.Burst, last: now}
}

// Request counts a request, not its retries.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.earn(b.config.Ratio)
}

// Retry takes a retry out of the budget. It returns false when none is left.
func (b *Budget) Retry(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-rounding {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// refill earns the floor of the time passed. A clock that steps back earns nothing.
func (b *Budget) refill(now time.Time) {
	if passed := now.Sub(b.last); passed > 0 {
		b.earn(b.config.FloorPerSecond * passed.Seconds())
		b.last = now
	}
}

func (b *Budget) earn(n float64) { b.tokens = min(b.tokens+n, b.config.Burst) }
