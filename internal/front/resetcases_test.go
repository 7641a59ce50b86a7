package front

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/flow"
	"github.com/bramleycourse/bramleycourse/internal/frame"
	"github.com/bramleycourse/bramleycourse/internal/view"
)

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

// fallSilent makes the third agent unheard by a balancer, for which it has long been down.
func (p *play) fallSilent(n int) {
	a := p.agents[2]
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
			p.fallSilent(0)
			p.fallSilent(1)
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
			p.fallSilent(0)
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
			p.fallSilent(0)
			p.fallSilent(1)
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
