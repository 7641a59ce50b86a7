// Package trace explains what happened to a flow from the logs of several
// processes: the decisions about it in the order of time, and what each process
// that decided believed at that moment.
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

// Line is one line of a log.
type Line struct {
	// At is the time by the clock of the process.
	At   time.Time
	Node string
	// Fields are the other fields in the order of the line.
	Fields []Field
}

// Field is a field of a line.
type Field struct{ Name, Value string }

// Get returns the value of a field; empty if there is none.
func (l *Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// beliefs are the events that change what a process believes.
var beliefs = []string{
	"configuration", "badConfiguration", "member", "agentDown", "agentUp", "upstream", "upstreamDown",
	"upstreamGone", "noUpstream", "lateReport", "platformDown", "platformUp", "reload", "start", "stop", "signal",
}

// Step is a decision about the flow.
type Step struct {
	Line
	// Beliefs are the last changes of belief of the process before the step, one
	// for each event and object.
	Beliefs []Line
}

// Reader collects the steps of one flow from any number of logs.
type Reader struct {
	flow string
	// offsets are the errors of the clocks of the processes.
	offsets map[string]time.Duration
	steps   []Step
	// known are the beliefs of each process so far, by event and object.
	known map[string]map[string]Line
	// Skipped counts lines that are cut or not of this format.
	Skipped int
}

// New returns a reader for the flows whose key contains a text: the whole key
// "caller>route" or the caller's address and port.
func New(flow string, offsets map[string]time.Duration) *Reader {
	return &Reader{flow: flow, offsets: offsets, known: map[string]map[string]Line{}}
}

// Read takes one log. Lines of several processes may be mixed in it.
func (r *Reader) Read(log io.Reader) error {
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		l := Line{}
		// Each line is decoded alone, so that a cut one does not end the log.
		d := logfmt.NewDecoder(bytes.NewReader(lines.Bytes()))
		for d.ScanRecord() {
			for d.ScanKeyval() {
				l.add(string(d.Key()), string(d.Value()))
			}
		}
		r.take(&l)
	}
	return lines.Err()
}

// maxLine bounds a line of a log, in octets.
const maxLine = 1 << 20

func (l *Line) add(name, value string) {
	switch name {
	case "time":
		// A line without a readable time is skipped by take.
		l.At, _ = time.Parse(time.RFC3339Nano, value)
	case "node":
		l.Node = value
	default:
		l.Fields = append(l.Fields, Field{name, value})
	}
}

func (r *Reader) take(l *Line) {
	event := l.Get("event")
	if l.At.IsZero() || l.Node == "" || event == "" {
		r.Skipped++
		return
	}
	l.At = l.At.Add(-r.offsets[l.Node])
	if slices.Contains(beliefs, event) {
		if r.known[l.Node] == nil || event == "start" {
			r.known[l.Node] = map[string]Line{}
		}
		object := l.Get("member") + l.Get("agent") + l.Get("upstream")
		r.known[l.Node][beliefOf(event)+object] = *l
		return
	}
	if flow := l.Get("flow"); flow != "" && strings.Contains(flow, r.flow) {
		s := Step{Line: *l}
		for _, b := range r.known[l.Node] {
			s.Beliefs = append(s.Beliefs, b)
		}
		slices.SortFunc(s.Beliefs, func(a, b Line) int { return a.At.Compare(b.At) })
		r.steps = append(r.steps, s)
	}
}

// beliefOf returns the belief that an event changes: later events replace
// earlier ones about the same thing.
func beliefOf(event string) string {
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

// Steps returns the decisions about the flow in the order of time.
func (r *Reader) Steps() []Step {
	slices.SortStableFunc(r.steps, func(a, b Step) int { return a.At.Compare(b.At) })
	return r.steps
}

// maxBeliefs bounds the beliefs that are printed with a step: the latest ones.
const maxBeliefs = 6

// Print writes the steps for a person.
func (r *Reader) Print(w io.Writer) error {
	var b strings.Builder
	for _, s := range r.Steps() {
		fmt.Fprintf(&b, "%s %s %s\n", s.At.UTC().Format("15:04:05.000"), s.Node, fields(&s.Line))
		for _, l := range s.Beliefs[max(0, len(s.Beliefs)-maxBeliefs):] {
			fmt.Fprintf(&b, "    %.3fs before: %s\n", s.At.Sub(l.At).Seconds(), fields(&l))
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

func fields(l *Line) string {
	var parts []string
	for _, f := range l.Fields {
		if f.Name != "level" && f.Name != "msg" && f.Name != "role" {
			parts = append(parts, f.Name+"="+f.Value)
		}
	}
	return strings.Join(parts, " ")
}
