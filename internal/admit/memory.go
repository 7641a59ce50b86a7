package admit

import (
	"time"

	"github.com/bramleycourse/bramleycourse/internal/encap"
	"github.com/bramleycourse/bramleycourse/internal/ident"
)

const (
	// memoryTime is how long a decision is remembered. It covers the first
	// retransmissions of a ClientHello.
	memoryTime = 5 * time.Second
	// defaultMemory is the default number of remembered decisions.
	defaultMemory = 8192
	// maxIDSize is the length of the longest connection ID of QUIC version 1.
	maxIDSize = 20
)

// flowID is a client-chosen connection ID.
type flowID struct {
	size  int
	bytes [maxIDSize]byte
}

func newFlowID(id []byte) flowID {
	var f flowID
	f.size = copy(f.bytes[:], id)
	return f
}

// decision is a remembered placement decision.
type decision struct {
	action Action
	// kind, target and depth describe a Forward; depth is what the agent reported.
	kind   encap.Kind
	target ident.EndpointID
	depth  encap.Depth
	until  time.Time
}

// memory is a bounded table of decisions. When it is full the oldest goes.
type memory struct {
	limit   int
	entries map[flowID]decision
	// order holds the keys of entries, oldest first.
	order     []flowID
	forgotten uint64
}

func newMemory() memory {
	return memory{limit: defaultMemory, entries: map[flowID]decision{}}
}

func (m *memory) get(now time.Time, k flowID) (decision, bool) {
	d, ok := m.entries[k]
	return d, ok && d.until.After(now)
}

// put stores a decision. One that replaces another keeps its age, so that
// order stays sorted.
func (m *memory) put(now time.Time, k flowID, d decision) {
	for len(m.order) > 0 && !m.entries[m.order[0]].until.After(now) {
		m.dropOldest()
	}
	old, replaced := m.entries[k]
	if replaced {
		d.until = old.until
		m.entries[k] = d
		return
	}
	if len(m.order) >= m.limit {
		m.dropOldest()
		m.forgotten++
	}
	d.until = now.Add(memoryTime)
	m.entries[k] = d
	m.order = append(m.order, k)
}

func (m *memory) dropOldest() {
	delete(m.entries, m.order[0])
	m.order = m.order[1:]
}
