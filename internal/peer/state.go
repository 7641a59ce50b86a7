package peer

import (
	"maps"

	"github.com/bramleycourse/bramleycourse/internal/view"
)

// State is the part of a state dump about sessions.
type State struct {
	// Sessions maps the keys of connected processes to whether this side dialed.
	// For a Client, all values are true.
	Sessions map[string]bool   `json:"sessions"`
	Counts   map[string]uint64 `json:"counts"`
	Traffic  Traffic           `json:"traffic"`
	// Marks maps keys of processes to the condition that this balancer reports.
	Marks map[string]string `json:"marks"`
}

// State returns the state of sessions and marks for a state dump.
func (n *Node) State() State {
	n.mu.Lock()
	defer n.mu.Unlock()
	st := State{Sessions: map[string]bool{}, Traffic: n.traffic.snapshot(), Marks: map[string]string{}}
	for s := range n.sessions {
		st.Sessions[s.remote.Key.String()] = s.dialed
	}
	for k, c := range n.marks.List(n.self.Key) {
		st.Marks[k.String()] = c.String()
	}
	st.Counts = map[string]uint64{
		"entries":          uint64(n.view.Len()),
		"refusedEntries":   n.view.Refused(),
		"refusedMarks":     n.marks.Refused(),
		"refusedSessions":  n.refusedSessions.Load(),
		"refusedFrames":    n.refusedFrames.Load(),
		"pauses":           n.pauses.Load(),
		"slowSessions":     n.slowSessions.Load(),
		"configConflicts":  n.configConflicts.Load(),
		"entriesForwarded": n.entriesForwarded.Load(),
		"marksForwarded":   n.marksForwarded.Load(),
	}
	return st
}

// Conditions returns the conditions of processes that this balancer reports.
func (n *Node) Conditions() map[view.Key]view.Condition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.marks.List(n.self.Key))
}
