package front

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/rules"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

const (
	// maxPlaySteps is the number of datagrams and timers of a play.
	maxPlaySteps = 60
	// playStart is when a play begins. All processes that run then have run for long.
	playStart = 20 * time.Second
)

// playAgent is a stand-in of an agent and its upstream.
type playAgent struct {
	entry   view.Entry
	running bool
	// holds is set if the upstream holds the flow, knows if this run of the agent knows it.
	// A mistaken run denies a flow that its upstream holds; the next one does not.
	holds, knows, mistaken bool
	// givenUp is set while no process hears the agent, so that its flows may be reset.
	givenUp bool
	// unheardBy are the balancers whose links to the agent are silent.
	unheardBy []netip.AddrPort
}

// playMessage is a datagram on its way.
type playMessage struct {
	from, to netip.AddrPort
	raw      []byte
}

// playEvent is something that happens at any time in a play, after another event if after is set.
type playEvent struct {
	name, after string
	run         func(p *play)
}

// play runs balancers with stand-ins of agents. Datagrams arrive in the order in which they are
// sent; those that bring news, answers and confirmations may be lost.
type play struct {
	t   *testing.T
	now time.Duration
	// size is the number of balancers, which know each other.
	size      int
	balancers [4]*Core
	frozen    [4]bool
	agents    []*playAgent
	queue     []playMessage
	// prompt are datagrams that always arrive at once: pings and their answers.
	prompt []playMessage
	runs   int
	losses int
	trace  []string
	wrong  string
	resets int
	// prepare changes each balancer that starts; may be nil.
	prepare func(*Core)
	// never is set if requests may not be repeated.
	never bool
}

var (
	playCaller = benchCaller(1)
	playPacket = flow.Packet{From: playCaller, To: benchRoute, Ack: true, Acked: 8, Size: 100}
)

func playPeer(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(1 + n)}), 7000)
}

func playHop(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(1 + n)}), 8000)
}

func playTable(t *testing.T, repeatable bool) *rules.Table {
	table, err := rules.New(rules.Config{Generation: 2, Routes: []rules.Route{
		{Addr: benchRoute, Repeatable: repeatable, Shares: []rules.Share{{Service: "s0", Weight: 1}}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// addAgent adds an agent that runs.
func (p *play) addAgent() *playAgent {
	p.runs++
	a := &playAgent{running: true, knows: true, entry: view.Entry{
		Key: view.Key{Hop: playHop(len(p.agents)), Instance: 100}, State: view.Serving, Seq: 100, Service: "s0", Place: "a",
	}}
	p.agents = append(p.agents, a)
	return a
}

// startBalancer starts a balancer that knows only its seeds.
func (p *play) startBalancer(n int) *Core {
	p.runs++
	var seeds []netip.AddrPort
	for i := range p.size {
		seeds = append(seeds, playPeer(i))
	}
	c := NewCore(p.now, playConfig(CoreConfig{
		Name: fmt.Sprint("b", n), Place: "a", Instance: 1001, Seq: 1, Hop: netip.AddrPortFrom(playPeer(n).Addr(), 8000), Peer: playPeer(n),
		FlowLifetime: time.Minute, Seeds: seeds,
	}), flow.Codec{
		Decode: func([]byte) (flow.Packet, bool) { return playPacket, true },
		Reset:  func(*flow.Packet) []byte { return []byte{0} },
	})
	l := logrus.New()
	l.SetOutput(io.Discard)
	l.SetLevel(logrus.PanicLevel)
	c.Log, c.Sample = logrus.NewEntry(l), func(bool) bool { return false }
	c.RecordAnswerTime, c.OnAgentGone, c.FetchConfig = func(time.Duration) {}, func(view.Entry) {}, func(netip.AddrPort) {}
	c.ToAgent = func(b []byte, to netip.AddrPort) { p.send(b, playPeer(n), to) }
	c.ToCaller = func([]byte, netip.Addr) { p.noteReset(n) }
	c.SetRules(playTable(p.t, !p.never), "test")
	if p.prepare != nil {
		p.prepare(c)
	}
	p.balancers[n] = c
	return c
}

// startLongAgo starts a balancer that has run for long and knows some agents and all balancers.
func (p *play) startLongAgo(n int, agents ...*playAgent) {
	now := p.now
	p.now = time.Second
	c := p.startBalancer(n)
	p.now = now
	var items []view.Item
	for i := range p.size {
		if i != n {
			items = append(items, view.Item{Entry: view.Entry{
				Key:   view.Key{Name: fmt.Sprint("b", i), Instance: 1001, Hop: netip.AddrPortFrom(playPeer(i).Addr(), 8000)},
				State: view.Serving, Seq: 1, Place: "a", Peer: playPeer(i),
			}})
		}
	}
	for _, a := range agents {
		items = append(items, view.Item{Entry: a.entry})
	}
	c.listRead, c.peers.heardAt, c.lastTick = true, now, now
	c.nextHousekeeping, c.peers.nextExchange = now+tickInterval, now+exchangeInterval
	c.mergeItems(now, items)
	p.runPrompt()
}

// noteReset judges a reset of the flow.
func (p *play) noteReset(by int) {
	p.resets++
	for _, a := range p.agents {
		if a.holds && !a.mistaken && !a.givenUp {
			p.wrong = fmt.Sprintf("balancer %d resets a flow that the upstream of %v holds", by, a.entry.Key.Hop)
		}
	}
	if p.never {
		p.wrong = fmt.Sprintf("balancer %d resets a flow whose requests may not be repeated", by)
	}
	p.note("balancer %d resets", by)
}

func (p *play) send(b []byte, from, to netip.AddrPort) {
	b = slices.Clone(b)
	var f frame.Frame
	if !f.Parse(b) {
		p.t.Fatal("malformed frame")
	}
	m := playMessage{from, to, b}
	if a := p.agentAt(to); a != nil {
		if a.running && !slices.Contains(a.unheardBy, from) {
			p.answer(a, &f, from)
		}
		return
	}
	p.queue = append(p.queue, m)
}

func (p *play) agentAt(hop netip.AddrPort) *playAgent {
	for _, a := range p.agents {
		if a.entry.Key.Hop == hop {
			return a
		}
	}
	return nil
}

// answer answers a datagram for an agent.
func (p *play) answer(a *playAgent, f *frame.Frame, from netip.AddrPort) {
	reply := frame.Frame{Service: f.Service, Payload: f.Payload, Candidates: f.Candidates}
	switch f.Kind {
	case frame.Ping:
		reply = frame.Frame{Kind: frame.Pong}
		p.prompt = append(p.prompt, playMessage{a.entry.Key.Hop, from, reply.Append(nil)})
		return
	case frame.Query:
		number, keys, _ := f.Query()
		holds := frame.NotHeld
		switch {
		case !a.holds || a.mistaken:
		case a.knows:
			holds = frame.Held
		default:
			holds = frame.NotKnown
		}
		reply.Kind, reply.Payload = frame.Holding, frame.HoldingPayload(number, slices.Repeat([]frame.Holds{holds}, len(keys)))
	case frame.Data, frame.Walk:
		if f.Kind == frame.Data {
			reply.Candidates = nil
		}
		reply.Kind, reply.Unsure = frame.Missed, a.holds && !a.knows && !a.mistaken
		if a.holds && a.knows && !a.mistaken {
			k := flow.KeyOf(playPacket.From, playPacket.To)
			reply = frame.Frame{Kind: frame.Taken, Service: f.Service, Open: true, Payload: k[:]}
		}
	case frame.Unheard:
		agents, _ := f.Unheard()
		var heard []frame.HeardAgent
		for _, h := range agents {
			heard = append(heard, frame.HeardAgent{Addr: h, Heard: p.agentAt(h).running})
		}
		reply = frame.Frame{Kind: frame.Heard, Payload: frame.HeardPayload(heard)}
	default:
		return
	}
	p.queue = append(p.queue, playMessage{a.entry.Key.Hop, from, reply.Append(nil)})
}

// announce sends the entry of an agent to a balancer.
func (p *play) announce(a *playAgent, n int) {
	if slices.Contains(a.unheardBy, playPeer(n)) {
		return
	}
	b, err := json.Marshal(view.Item{Entry: a.entry})
	if err != nil {
		p.t.Fatal(err)
	}
	p.queue = append(p.queue, playMessage{a.entry.Key.Hop, playPeer(n), (&frame.Frame{Kind: frame.Announce, Payload: b}).Append(nil)})
}

// deliver hands a datagram to a balancer.
func (p *play) deliver(m playMessage) {
	for n, c := range p.balancers {
		if c != nil && !p.frozen[n] && playPeer(n) == m.to {
			c.FromAgent(p.now, m.raw, m.from)
		}
	}
}

func (p *play) runPrompt() {
	for len(p.prompt) > 0 {
		m := p.prompt[0]
		p.prompt = p.prompt[1:]
		p.deliver(m)
	}
}

// advance runs the next timers.
func (p *play) advance() {
	d := tickInterval
	for n, c := range p.balancers {
		if c != nil && !p.frozen[n] {
			d = min(d, max(time.Millisecond, c.Due(p.now)))
		}
	}
	p.now += d
	for n, c := range p.balancers {
		if c != nil && !p.frozen[n] {
			c.Tick(p.now)
		}
	}
}

func (p *play) note(format string, args ...any) {
	p.trace = append(p.trace, fmt.Sprintf("%v ", p.now)+fmt.Sprintf(format, args...))
}

func (m *playMessage) String() string {
	var f frame.Frame
	f.Parse(m.raw)
	return fmt.Sprintf("kind %d %v -> %v", f.Kind, m.from, m.to)
}

// run plays the events in an order that the choices give: at each step the next datagram
// arrives or is lost, or an event happens; timers run when no datagram is on its way.
func (p *play) run(s *resetPlay, c *choices) {
	var done []string
	idle := 0
	for range maxPlaySteps {
		p.runPrompt()
		enabled := enabledEvents(s.events, done)
		if p.wrong != "" || len(enabled) == 0 && p.settled() {
			return
		}
		goesOn, options := idle < s.idle || len(enabled) == 0, len(enabled)
		if goesOn {
			options++
		}
		if p.losses > 0 && len(p.queue) > 0 {
			options++
		}
		n := c.choose(options)
		if goesOn {
			n--
		}
		switch {
		case n < 0:
			idle++
			p.step()
		case n < len(enabled):
			p.note("%s", enabled[n].name)
			done, idle = append(done, enabled[n].name), 0
			enabled[n].run(p)
		default:
			p.losses--
			p.note("lost: %v", &p.queue[0])
			p.queue = p.queue[1:]
		}
	}
}

// enabledEvents returns the events that have not happened and may happen next.
func enabledEvents(events []playEvent, done []string) []*playEvent {
	var enabled []*playEvent
	for n, e := range events {
		if !slices.Contains(done, e.name) && (e.after == "" || slices.Contains(done, e.after)) {
			enabled = append(enabled, &events[n])
		}
	}
	return enabled
}

// settled reports whether nothing is on its way and the first balancer searches for no flow.
func (p *play) settled() bool {
	c := p.balancers[0]
	return len(p.queue) == 0 && (c == nil || len(c.searches.byKey) == 0)
}

// step delivers the next datagram, or runs the next timers.
func (p *play) step() {
	if len(p.queue) == 0 {
		p.advance()
		return
	}
	m := p.queue[0]
	p.queue = p.queue[1:]
	p.note("%v", &m)
	p.deliver(m)
}

// resetPlay is a set of events of which every order is played.
type resetPlay struct {
	name string
	// losses is the number of datagrams that are lost at most, idle that of datagrams and timers
	// between two events.
	losses, idle int
	setup        func(p *play)
	events       []playEvent
}

// playAll plays every order of a case. It returns the number of plays and the trace of the first
// one in which a flow is reset that an upstream holds.
func (s *resetPlay) playAll(t *testing.T, prepare func(*Core)) (plays, resets int, failed string) {
	var c choices
	for more := true; more; more = c.next() {
		plays++
		p := &play{t: t, size: 3, now: playStart, losses: s.losses, prepare: prepare}
		s.setup(p)
		p.queue = nil
		p.run(s, &c)
		resets += p.resets
		if p.wrong != "" {
			return plays, resets, p.wrong + "\n" + strings.Join(p.trace, "\n")
		}
	}
	return plays, resets, ""
}

func playConfig(s CoreConfig) CoreConfig {
	s.Random = rand.New(rand.NewPCG(1, uint64(len(s.Name))))
	return s
}
