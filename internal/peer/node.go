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
	// maxBalancerSessions limits the accepted sessions of balancers. Each
	// balancer opens 3 if all are live, and up to 6 and those to seeds otherwise,
	// so 64 leaves room for an uneven distribution.
	maxBalancerSessions = 64
	// maxAgentSessions limits the accepted sessions of agents. With 4,500 agents
	// of 2 sessions each, 440 balancers have 21 each on average; if only 10
	// balancers are left, they have 900 each.
	maxAgentSessions = 1024
	// maxPendingConns limits the accepted connections that have not completed
	// the exchange of hellos.
	maxPendingConns = 64
	// maxSeeds is the number of seeds used; further seeds are ignored.
	maxSeeds = 8
)

// NodeOptions configures a Node. Function fields are called without locks held and
// must not block; nil fields are not called.
type NodeOptions struct {
	// Self is the balancer's initial entry.
	Self view.Entry
	// Seeds are the peer addresses of the balancers to contact first.
	Seeds []string
	// TLS is nil for plain TCP.
	TLS *MutualTLS
	// Scope receives the metrics; may be nil.
	Scope tally.Scope
	// OnView is called after the view or the marks have changed; urgent means
	// that a process may have become unusable.
	OnView func(urgent bool)
	// OnSelf receives the balancer's entry when its sequence number was raised
	// because another process had changed the entry.
	OnSelf func(view.Entry)
	// OnConfig receives a configuration from a peer. The callback validates it
	// and calls SetConfig if it takes effect.
	OnConfig func(value []byte)
	// OnConflict is called when a peer holds different content under the current
	// generation.
	OnConflict func(ident.Generation)
	// OnRefused receives the reason why a session was refused: the certificate
	// of the other side was rejected, or the connection failed before the
	// exchange of hellos was complete. It is called at most once per
	// refusalInterval.
	OnRefused func(addr string, err error)
	// OnAgentBroken is called when the last session of an agent has ended
	// although the agent had not announced that it is gone.
	OnAgentBroken func(view.Key)
}

// heldConfig is the configuration that the node holds and forwards.
type heldConfig struct {
	Generation ident.Generation
	Value      []byte
	hash       uint64
	// accepted is nil if the value is not a valid configuration.
	accepted *config.Accepted
}

// Node keeps the sessions of a balancer to other balancers and to agents. It
// owns the balancer's view, marks and copy of the configuration.
type Node struct {
	options NodeOptions
	traffic *traffic
	start   time.Time

	mu    sync.Mutex
	self  view.Item
	view  *view.View
	marks *view.Marks
	// lastTick is the time of the last iteration of the loop in Run; see paused.
	lastTick    time.Duration
	config      heldConfig
	configFetch configFetch
	sessions    map[*session]struct{}
	// closed is true once Run has closed the sessions; addSession then refuses
	// connections that were accepted before and complete their hellos later.
	closed  bool
	dialers map[string]*dialer
	// changes counts the changes to what wantedAddrs depends on; managedChanges
	// is its value at the last run of manage.
	changes, managedChanges uint64
	// selfAddrs holds the seeds that turned out to be this balancer.
	selfAddrs map[string]bool

	// pendingConns counts the accepted connections that have not completed the
	// exchange of hellos.
	pendingConns                   atomic.Int64
	refusedSessions, refusedFrames atomic.Uint64
	slowSessions, configConflicts  atomic.Uint64
	pauses                         atomic.Uint64
	// lastRefusal is the time of the last call of OnRefused, in nanoseconds since
	// start.
	lastRefusal atomic.Int64
	// lastConflict is the hash of the last configuration that was reported as
	// conflicting; mu guards it.
	lastConflict                     uint64
	entriesForwarded, marksForwarded atomic.Uint64
}

// NewNode returns a node whose view holds only the balancer's own entry.
func NewNode(o NodeOptions) *Node {
	if o.Self.Seq == 0 {
		o.Self.Seq = 1
	}
	o.Seeds = append([]string(nil), o.Seeds...)
	rand.Shuffle(len(o.Seeds), func(i, j int) { o.Seeds[i], o.Seeds[j] = o.Seeds[j], o.Seeds[i] })
	n := &Node{
		options:     o,
		traffic:     newTraffic(o.Scope),
		start:       time.Now(),
		self:        view.Item{Entry: o.Self},
		view:        view.New(),
		marks:       view.NewMarks(),
		sessions:    map[*session]struct{}{},
		dialers:     map[string]*dialer{},
		selfAddrs:   map[string]bool{},
		configFetch: configFetch{offers: map[*session]configOffer{}},
		changes:     1,
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
	n.sendEntries([]view.Item{n.self}, nil)
	e := n.self.Entry
	n.mu.Unlock()
	n.viewChanged(degraded)
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

// Snapshot returns the entries that are not gone, in no order, and the worst
// condition of each process that other balancers have marked.
func (n *Node) Snapshot() ([]view.Entry, map[view.Key]view.Condition) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.view.EntriesUnsorted(), n.marks.All(n.now(), n.self.Key)
}

// Get returns the entry of a key, whose state may be Gone.
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

// SetGone moves the given version of another process's entry to the state Gone.
// It has no effect if that process has announced a newer version.
func (n *Node) SetGone(e view.Entry) {
	e.State = view.Gone
	n.Merge(view.Item{Entry: e})
}

// SetConfig stores a configuration, offers it to other balancers and sends it to
// the agents. It does not reject a value that is not a valid configuration. It
// does nothing unless the generation is higher than the current one.
func (n *Node) SetConfig(g ident.Generation, value []byte) {
	if g <= n.Generation() {
		return
	}
	a, err := config.ParseAccepted("", value)
	if err != nil {
		a = nil
	}
	c := heldConfig{g, value, configHash(value), a}
	n.mu.Lock()
	defer n.mu.Unlock()
	if g <= n.config.Generation {
		return
	}
	n.config = c
	n.announceConfig()
	n.configFetch.notBefore = time.Time{}
	n.scheduleRequest()
}

// Generation returns the generation of the configuration held.
func (n *Node) Generation() ident.Generation {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Generation
}

// configHash hashes a configuration without white space, which JSON encoders on
// the way may change.
func configHash(value []byte) uint64 {
	var b bytes.Buffer
	if json.Compact(&b, value) != nil {
		return xxhash.Sum64(value)
	}
	return xxhash.Sum64(b.Bytes())
}
