package admit

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// decisionLifetime is how long a decision is cached. It covers the first
	// retransmissions of a ClientHello.
	decisionLifetime = 5 * time.Second
	// defaultCacheSize is the default number of cached decisions.
	defaultCacheSize = 8192
	// maxIDSize is the length of the longest connection ID of QUIC version 1.
	maxIDSize = 20
)

// flowID is a client-chosen connection ID in a form that can be a map key.
type flowID struct {
	size  int
	bytes [maxIDSize]byte
}

func newFlowID(id []byte) flowID {
	var f flowID
	f.size = copy(f.bytes[:], id)
	return f
}

// decision is a cached placement decision.
type decision struct {
	action Action
	// kind, target and depth describe a Forward; depth is the depth that the
	// agent reported.
	kind    encap.Kind
	target  ident.EndpointID
	depth   encap.Depth
	expires time.Time
}

// decisionCache holds a bounded number of decisions and evicts the oldest when
// it is full.
type decisionCache struct {
	limit   int
	entries map[flowID]decision
	// order holds the keys of entries, oldest first.
	order   []flowID
	evicted uint64
}

func newDecisionCache() decisionCache {
	return decisionCache{limit: defaultCacheSize, entries: map[flowID]decision{}}
}

func (c *decisionCache) get(now time.Time, k flowID) (decision, bool) {
	d, ok := c.entries[k]
	return d, ok && d.expires.After(now)
}

// put stores a decision. A decision that replaces another keeps its expiry, so
// that order stays sorted.
func (c *decisionCache) put(now time.Time, k flowID, d decision) {
	for len(c.order) > 0 && !c.entries[c.order[0]].expires.After(now) {
		c.evictOldest()
	}
	old, replaced := c.entries[k]
	if replaced {
		d.expires = old.expires
		c.entries[k] = d
		return
	}
	if len(c.order) >= c.limit {
		c.evictOldest()
		c.evicted++
	}
	d.expires = now.Add(decisionLifetime)
	c.entries[k] = d
	c.order = append(c.order, k)
}

func (c *decisionCache) evictOldest() {
	delete(c.entries, c.order[0])
	c.order = c.order[1:]
}
