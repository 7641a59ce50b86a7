package peer

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// maxBalancerSessions bounds accepted sessions of balancers; each balancer
	// opens 3, so 64 leaves room for an uneven choice.
	maxBalancerSessions = 64
	// maxAgentSessions bounds accepted sessions of agents: 9,000 sessions over
	// 440 balancers give 21 each, and all 4,500 agents may meet 10 balancers.
	maxAgentSessions = 1024
	// maxPending bounds connections that have not said hello.
	maxPending = 64
	maxSeeds   = 8
)

// Options configures a Node. Function fields are called without locks and must
// not block; nil fields are not called.
type Options struct {
	// Self is the balancer's own entry at its start.
	Self view.Entry
	// Seeds are peer addresses of balancers to begin with.
	Seeds []string
	// TLS is nil for plain TCP.
	TLS *Secure
	// Scope receives the metrics; may be nil.
	Scope tally.Scope
	// OnView is called after the view or the marks have changed; urgent means
	// that something may have become unusable.
	OnView func(urgent bool)
	// OnSelf receives the own entry when its sequence number was raised because
	// another process had changed it.
	OnSelf func(view.Entry)
	// OnConfig receives a configuration of a peer; the receiver checks it and
	// calls SetConfig if it is in force.
	OnConfig func(value []byte)
	// OnConflict reports that a peer has other content under the generation in force.
	OnConflict func(ident.Generation)
	// OnRefused receives the reason for a session that was refused, either
	// because of the other side's certificate or because it broke off before
	// it said hello; at most one for each refusalInterval.
	OnRefused func(addr string, err error)
	// OnAgentBroken reports that the last session of an agent broke before the
	// agent said that it is gone.
	OnAgentBroken func(view.Key)
}

// Config is a configuration in force.
type Config struct {
	Generation ident.Generation
	Value      []byte
	hash       uint64
	// accepted is nil when the value is not a configuration object.
	accepted *config.Accepted
}

// Node is the balancer's side of all sessions.
type Node struct {
	o       Options
	traffic *traffic
	start   time.Time

	mu    sync.Mutex
	self  view.Item
	view  *view.View
	marks *view.Marks
	// alive is when Run last had its turn; see paused.
	alive    time.Duration
	conf     Config
	fetch    fetch
	sessions map[*session]struct{}
	dialers  map[string]*dialer
	// changes counts what the choice of peers depends on; managed is its value
	// at the last choice.
	changes, managed uint64
	// selfAddrs are seeds that turned out to be this balancer.
	selfAddrs map[string]bool

	pending                          atomic.Int64
	refusedSessions, refusedFrames   atomic.Uint64
	slowSessions, configConflicts    atomic.Uint64
	pauses                           atomic.Uint64
	lastRefusal                      atomic.Int64
	lastConflict                     uint64
	entriesForwarded, marksForwarded atomic.Uint64
}

// NewNode returns a node whose view holds only its own entry.
func NewNode(o Options) *Node {
	if o.Self.Seq == 0 {
		o.Self.Seq = 1
	}
	o.Seeds = append([]string(nil), o.Seeds...)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	n := &Node{
		o:         o,
		traffic:   newTraffic(o.Scope),
		start:     time.Now(),
		self:      view.Item{Entry: o.Self},
		view:      view.New(),
		marks:     view.NewMarks(),
		sessions:  map[*session]struct{}{},
		dialers:   map[string]*dialer{},
		selfAddrs: map[string]bool{},
		fetch:     fetch{offers: map[*session]offer{}},
		changes:   1,
	}
	n.view.Merge(0, n.self)
	return n
}

func (n *Node) now() time.Duration { return time.Since(n.start) }

// SetState changes the state of the balancer's own entry and returns it.
func (n *Node) SetState(s view.State) view.Entry {
	n.mu.Lock()
	n.self.State = s
	n.self.Seq++
	n.view.Merge(n.now(), n.self)
	n.push([]view.Item{n.self}, nil)
	e := n.self.Entry
	n.mu.Unlock()
	n.viewChanged(worse)
	return e
}

// Self returns the balancer's own entry.
func (n *Node) Self() view.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.self.Entry
}

// Entries returns the entries that are not gone.
func (n *Node) Entries() []view.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Entries()
}

// Snapshot returns the entries that are not gone, in no order, and what other
// balancers report of processes.
func (n *Node) Snapshot() ([]view.Entry, map[view.Key]view.Condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Unsorted(), n.marks.All(n.now(), n.self.Key)
}

// Get returns the entry of a key, which may be gone.
func (n *Node) Get(k view.Key) (view.Entry, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Get(k)
}

// Root returns the root hash of the view.
func (n *Node) Root() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.Root()
}

// SetGone moves the given version of an entry of another process to the state
// gone. It does nothing when the owner has announced a newer one.
func (n *Node) SetGone(e view.Entry) {
	e.State = view.Gone
	n.Merge(view.Item{Entry: e})
}

// SetConfig stores a configuration that is in force and passes it on if its
// generation is higher than that of the one held.
func (n *Node) SetConfig(g ident.Generation, value []byte) {
	if g <= n.Generation() {
		return
	}
	a, err := config.ParseAccepted("", value)
	if err != nil {
		a = nil
	}
	c := Config{g, value, configHash(value), a}
	n.mu.Lock()
	defer n.mu.Unlock()
	if g <= n.conf.Generation {
		return
	}
	n.conf = c
	n.announceConfig()
	n.fetch.notBefore = time.Time{}
	n.schedule()
}

// Generation returns the generation of the configuration held.
func (n *Node) Generation() ident.Generation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.conf.Generation
}

// configHash ignores white space, which JSON encoders on the way may change.
func configHash(value []byte) uint64 {
	var b bytes.Buffer
	if json.Compact(&b, value) != nil {
		return xxhash.Sum64(value)
	}
	return xxhash.Sum64(b.Bytes())
}
