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

// choices enumerates the ways in which a play can go: each call of next goes on to the next one.
type choices struct {
	path, widths []int
	at           int
}

func (c *choices) choose(width int) int {
	if c.at == len(c.path) {
		c.path, c.widths = append(c.path, 0), append(c.widths, width)
	}
	c.widths[c.at] = width
	c.at++
	return c.path[c.at-1]
}

// next prepares the next play and reports whether there is one.
func (c *choices) next() bool {
	c.path, c.at = c.path[:c.at], 0
	for n := len(c.path) - 1; n >= 0; n-- {
		if c.path[n]++; c.path[n] < c.widths[n] {
			c.path, c.widths = c.path[:n+1], c.widths[:n+1]
			return true
		}
	}
	return false
}

// run plays the events in an order that the choices give: at each step the next datagram
// arrives or is lost, or an event happens; timers run when no datagram is on its way.
func (p *play) run(s *resetPlay, c *choices) {
	events := s.events
	var done []string
	idle := 0
	for range maxPlaySteps {
		p.runPrompt()
		var enabled []int
		for n, e := range events {
			if !slices.Contains(done, e.name) && (e.after == "" || slices.Contains(done, e.after)) {
				enabled = append(enabled, n)
			}
		}
		searching := p.balancers[0] != nil && len(p.balancers[0].searches.byKey) > 0
		if p.wrong != "" || len(enabled) == 0 && !searching && len(p.queue) == 0 {
			return
		}
		options := len(enabled)
		goesOn, loses := idle < s.idle || len(enabled) == 0, p.losses > 0 && len(p.queue) > 0
		if goesOn {
			options++
		}
		if loses {
			options++
		}
		n := c.choose(options)
		if goesOn {
			if n == 0 {
				idle++
				p.step()
				continue
			}
			n--
		}
		if n < len(enabled) {
			e := events[enabled[n]]
			p.note("%s", e.name)
			done, idle = append(done, e.name), 0
			e.run(p)
			continue
		}
		p.losses--
		p.note("lost: %v", &p.queue[0])
		p.queue = p.queue[1:]
	}
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

// listEvent lets a balancer read the platform's list, which names some agents.
func listEvent(n int, agents ...int) playEvent {
	return playEvent{fmt.Sprint("list of balancer ", n), "", func(p *play) {
		var es []view.Entry
		for _, a := range agents {
			e := p.agents[a].entry
			e.Key.Instance, e.Seq = 0, 1
			es = append(es, e)
		}
		p.balancers[n].AddListedAgents(p.now, es)
	}}
}

// packetEvent is a packet of the flow at the first balancer.
func packetEvent(after string) playEvent {
	return playEvent{"packet", after, func(p *play) { p.balancers[0].FromCaller(p.now, make([]byte, 132)) }}
}

// freezeEvent lets a balancer stand still from then on.
func freezeEvent(n int) playEvent {
	return playEvent{fmt.Sprint("balancer stands still: ", n), "", func(p *play) { p.frozen[n] = true }}
}

// stopEvent stops an agent as planned; backEvent lets it, or another one, start again.
func stopEvent(agent int) playEvent {
	return playEvent{fmt.Sprint("stop of agent ", agent), "", func(p *play) {
		a := p.agents[agent]
		a.entry.State, a.entry.Stopping = view.Draining, true
		a.entry.Seq++
		for n := range p.size {
			p.announce(a, n)
		}
		a.running = false
	}}
}

func backEvent(agent int) playEvent {
	return playEvent{fmt.Sprint("next run of agent ", agent), fmt.Sprint("stop of agent ", agent), func(p *play) {
		a := p.agents[agent]
		// It takes much longer than datagrams are on their way.
		for len(p.queue) > 0 {
			p.step()
			p.runPrompt()
		}
		a.entry.State, a.entry.Stopping = view.Serving, false
		a.entry.Key.Instance++
		a.entry.Seq += 100
		a.running, a.mistaken = true, false
		for n := range p.size {
			p.announce(a, n)
		}
	}}
}

// hearEvent ends the silence between a balancer and an agent.
func hearEvent(n, agent int) playEvent {
	return playEvent{"link is back", "", func(p *play) {
		p.agents[agent].unheardBy, p.agents[agent].givenUp = nil, false
		p.prompt = append(p.prompt, playMessage{p.agents[agent].entry.Key.Hop, playPeer(n), (&frame.Frame{Kind: frame.Pong}).Append(nil)})
	}}
}

// fallSilent makes an agent unheard by a balancer, for which it has long been down.
func (p *play) fallSilent(n, agent int) {
	a := p.agents[agent]
	a.unheardBy = append(a.unheardBy, playPeer(n))
	c := p.balancers[n]
	st := c.agents.byAddr[a.entry.Key.Hop]
	c.agents.pendingPings -= min(1, int(st.pingedAt))
	st.pingedAt, st.downAt, st.lastHeard, st.nextPing = 0, p.now-flowLossDelay+50*time.Millisecond, p.now-time.Second, p.now
	c.agents.regroup(c)
}

// resetPlays are the cases of which every order is played. The second agent holds the flow unless
// a case says otherwise.
var resetPlays = []resetPlay{
	{
		"a balancer has read an older list", 2, 6,
		func(p *play) {
			p.addAgent()
			p.addAgent().holds = true
			p.startLongAgo(2, p.agents...)
			p.startBalancer(0)
		},
		[]playEvent{listEvent(0, 0), packetEvent("list of balancer 0")},
	},
	{
		"two of three balancers do not know a new agent", 2, 6,
		func(p *play) {
			p.addAgent()
			p.addAgent().holds = true
			p.startLongAgo(0, p.agents[0])
			p.startLongAgo(1, p.agents[0])
			p.startLongAgo(2, p.agents...)
		},
		[]playEvent{packetEvent("")},
	},
	{
		"one of four balancers knows a new agent", 1, 6,
		func(p *play) {
			p.size = 4
			p.addAgent()
			p.addAgent().holds = true
			p.startLongAgo(0, p.agents[0])
			p.startLongAgo(1, p.agents[0])
			p.startLongAgo(2, p.agents[0])
			p.startLongAgo(3, p.agents...)
		},
		[]playEvent{packetEvent("")},
	},
	{
		"news of a new agent", 1, 6,
		func(p *play) {
			p.addAgent()
			p.addAgent().holds = true
			p.startLongAgo(0, p.agents[0])
			p.startLongAgo(1, p.agents[0])
			p.startLongAgo(2, p.agents...)
		},
		[]playEvent{packetEvent(""), {"news", "", func(p *play) {
			p.announce(p.agents[1], 0)
			p.announce(p.agents[1], 1)
		}}},
	},
	{
		"an agent stops", 1, 8,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			p.addAgent().holds = true
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
		},
		[]playEvent{stopEvent(2), packetEvent("stop of agent 2")},
	},
	{
		// Only the third balancer hears the agent, and it stands still.
		"links are silent and the witness stands still", 1, 8,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			p.addAgent().holds = true
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
			p.fallSilent(0, 2)
			p.fallSilent(1, 2)
		},
		[]playEvent{freezeEvent(2), packetEvent("")},
	},
	{
		"an agent answers again", 1, 8,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			p.addAgent().holds = true
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
			p.fallSilent(0, 2)
			p.agents[2].givenUp = true
			st := p.balancers[0].agents.byAddr[playHop(2)]
			st.downAt -= time.Second
			st.testimony.answeredAt, st.testimony.agentAnsweredAt = p.now, p.now
		},
		[]playEvent{packetEvent(""), hearEvent(0, 2)},
	},
	{
		"a balancer knows no agent", 0, 6,
		func(p *play) {
			p.addAgent().holds = true
			p.startLongAgo(0)
			p.startLongAgo(1)
			p.startLongAgo(2)
		},
		[]playEvent{packetEvent("")},
	},
	{
		"a balancer without another one reads the list", 0, 5,
		func(p *play) {
			p.addAgent()
			p.addAgent().holds = true
			p.size = 1
			c := p.startBalancer(0)
			c.mergeItems(p.now, []view.Item{{Entry: p.agents[0].entry}})
		},
		[]playEvent{packetEvent(""), listEvent(0, 0, 1)},
	},
	{
		"a balancer without another one reads an empty list", 0, 5,
		func(p *play) {
			p.size = 1
			p.addAgent().holds = true
			p.startBalancer(0)
		},
		[]playEvent{packetEvent(""), listEvent(0)},
	},
	{
		// The caller opens another flow from the same address at the second agent.
		"a balancer does not run for some seconds", 0, 8,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
		},
		[]playEvent{packetEvent(""), {"pause", "packet", func(p *play) {
			p.now += 5 * time.Second
			p.agents[1].holds = true
		}}},
	},
	{
		"requests may not be repeated", 0, 8,
		func(p *play) {
			p.never = true
			p.addAgent()
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
		},
		[]playEvent{packetEvent("")},
	},
	{
		"no upstream holds the flow", 1, 8,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
		},
		[]playEvent{packetEvent("")},
	},
	{
		// A confirmed hint names the agent, so that no other one is asked.
		"the agent of a hint is heard by others", 1, 3,
		func(p *play) {
			p.addAgent()
			p.addAgent()
			p.addAgent().holds = true
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
			p.balancers[0].hints.Put(p.now, flow.KeyOf(playCaller, benchRoute), flow.Hint{Agent: playHop(2), Confirmed: true})
			p.fallSilent(0, 2)
			p.fallSilent(1, 2)
		},
		[]playEvent{freezeEvent(2), packetEvent(""), {"packet again", "packet", packetEvent("").run}},
	},
	{
		// The first run of the agent denies a flow that the next one finds.
		"an agent is restarted", 2, 2,
		func(p *play) {
			p.addAgent()
			a := p.addAgent()
			a.holds, a.mistaken = true, true
			for n := range p.size {
				p.startLongAgo(n, p.agents...)
			}
		},
		[]playEvent{packetEvent(""), stopEvent(1), backEvent(1)},
	},
	{
		// The case of review/13: neither has derived the agents of the list.
		"two balancers have started", 0, 10,
		func(p *play) {
			p.addAgent()
			p.addAgent().holds = true
			p.startLongAgo(2, p.agents...)
			p.startBalancer(0)
			p.startBalancer(1)
		},
		[]playEvent{listEvent(0, 0, 1), listEvent(1, 0, 1), packetEvent("")},
	},
}

// TestResetPlays guards open flows against a reset while their upstreams hold them, in every
// order of what happens to balancers and agents up to maxPlaySteps datagrams and timers.
func TestResetPlays(t *testing.T) {
	for _, s := range resetPlays {
		began := time.Now()
		plays, resets, failed := s.playAll(t, nil)
		t.Logf("%s: %d plays, %d resets, %v", s.name, plays, resets, time.Since(began))
		if failed != "" {
			t.Errorf("%s: play %d: %s", s.name, plays, failed)
		}
	}
}

// TestResetGuards guards the conditions of a reset: without any one of them, a flow is reset that
// an upstream holds, or whose requests may not be repeated.
func TestResetGuards(t *testing.T) {
	without := map[string]func(*Core){
		"runs of agents": func(c *Core) { c.agents.isNewRun = func(*view.Entry, view.Key) bool { return false } },
	}
	for n, g := range resetGuards {
		without[string(g.lack)] = func(c *Core) { c.resetGuards = slices.Delete(slices.Clone(resetGuards), n, n+1) }
	}
	for name, prepare := range without {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, s := range resetPlays {
				if plays, _, failed := s.playAll(t, prepare); failed != "" {
					t.Logf("%s, play %d: %s", s.name, plays, failed)
					return
				}
			}
			t.Error("no play fails without this condition")
		})
	}
}
