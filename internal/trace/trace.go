// Package trace reconstructs what happened to a flow from the logs of several
// processes. It lists the decisions about the flow in order of time, each with the
// latest state changes that its process had logged before.
package trace

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is a parsed log line.
type Line struct {
	// At is the time of the line, corrected by the clock offset of the node.
	At   time.Time
	Node string
	// Fields are the other fields in the order in which they were logged.
	Fields []Field
}

// Field is a key and value of a log line.
type Field struct{ Name, Value string }

// Get returns the value of a field, or an empty string if there is none.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// stateEvents are the events that report a change in the state of a process, such
// as its configuration or the reachability of a peer.
var stateEvents = []string{
	"configuration", "badConfiguration", "member", "agentDown", "agentUp", "upstream", "upstreamDown",
	"upstreamGone", "noUpstream", "lateReport", "platformDown", "platformUp", "reload", "start", "stop", "signal",
}

// Step is a decision that a process made about the flow.
type Step struct {
	Line
	// Beliefs are the latest state changes of the process before the decision, in
	// order of time, one for each kind of state and object.
	Beliefs []Line
}

// Reader collects the decisions about a flow from any number of logs.
type Reader struct {
	flow string
	// clockOffsets holds by how much the clock of each node is ahead.
	clockOffsets map[string]time.Duration
	steps        []Step
	// state holds the latest state changes of each node, by the kind of state and
	// the object.
	state map[string]map[string]Line
	// Skipped counts the lines that are truncated or not in the expected format.
	Skipped int
}

// New returns a reader for the flows whose key contains the given text, such as the
// whole key "caller>route" or the caller's address and port. The clock offsets are
// subtracted from the times of the nodes.
func New(flow string, clockOffsets map[string]time.Duration) *Reader {
	return &Reader{flow: flow, clockOffsets: clockOffsets, state: map[string]map[string]Line{}}
}

// Read adds a log, which may contain the lines of several processes.
func (r *Reader) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		l := Line{}
		// Each line has its own decoder, so that a truncated line does not end the
		// reading.
		d := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				l.setField(string(d.Key()), string(d.Value()))
			}
		}
		r.addLine(&l)
	}
	return lines.Err()
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

func (l *Line) setField(name, value string) {
	switch name {
	case "time":
		// addLine skips lines whose time cannot be parsed.
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "node":
		l.Node = value
	default:
		l.Fields = append(l.Fields, Field{name, value})
	}
}

// addLine records a state change, or a decision if it concerns the flow.
func (r *Reader) addLine(l *Line) {
	event := l.Get("event")
	if l.At.IsZero() || l.Node == "" || event == "" {
		r.Skipped++
		return
	}
	l.At = l.At.Add(-r.clockOffsets[l.Node])
	if slices.Contains(stateEvents, event) {
		if r.state[l.Node] == nil || event == "start" {
			r.state[l.Node] = map[string]Line{}
		}
		object := l.Get("member") + l.Get("agent") + l.Get("upstream")
		r.state[l.Node][stateKind(event)+object] = *l
		return
	}
	if flow := l.Get("flow"); flow != "" && strings.Contains(flow, r.flow) {
		s := Step{Line: *l}
		for _, b := range r.state[l.Node] {
			s.Beliefs = append(s.Beliefs, b)
		}
		slices.SortFunc(s.Beliefs, func(a, b Line) int { return a.At.Compare(b.At) })
		r.steps = append(r.steps, s)
	}
}

// stateKind returns the kind of state that an event changes. Events of the same kind
// about the same object replace each other.
func stateKind(event string) string {
	switch event {
	case "agentUp", "agentDown":
		return "agent"
	case "platformDown", "platformUp":
		return "platform"
	case "upstream", "upstreamDown", "upstreamGone", "noUpstream":
		return "upstream"
	}
	return event
}

// Steps returns the decisions about the flow in order of time.
func (r *Reader) Steps() []Step {
	slices.SortStableFunc(r.steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return r.steps
}

// maxPrintedChanges is the number of latest state changes that are printed with a
// decision.
const maxPrintedChanges = 6

// Print writes the decisions and the state changes before each as text.
func (r *Reader) Print(w io.Writer) error {
	var b strings.Builder
	for _, s := range r.Steps() {
		fmt.Fprintf(&b, "%s %s %s\n", s.At.UTC().Format("15:04:05.000"), s.Node, formatFields(&s.Line))
		for _, l := range s.Beliefs[max(0, len(s.Beliefs)-maxPrintedChanges):] {
			fmt.Fprintf(&b, "    %.3fs before: %s\n", s.At.Sub(l.At).Seconds(), formatFields(&l))
		}
	}
	if len(r.steps) == 0 {
		fmt.Fprintf(&b, "no decision about a flow %q; its lines may have been sampled out\n", r.flow)
	}
	if r.Skipped > 0 {
		fmt.Fprintf(&b, "%d lines were skipped\n", r.Skipped)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// formatFields returns the fields of a line except those that say nothing about the
// decision.
func formatFields(l *Line) string {
	var parts []string
	for _, f := range l.Fields {
		if f.Name != "level" && f.Name != "msg" && f.Name != "role" {
			parts = append(parts, f.Name+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
