package proc

import "net/http"

// help holds the texts of the HELP lines.
var help = map[string]string{
	"packets":             "Packets by what became of them.",
	"refused":             "Refusals and failures by what was refused and why.",
	"control_total":       "Events of the control plane since the start.",
	"connections_by_key":  "Open flows by the number of the key that was current when they began.",
	"peer_bytes_sent":     "Bytes sent in sessions by kind of message; wire is all on TCP.",
	"peer_bytes_received": "Bytes received in sessions by kind of message; wire is all on TCP.",
	"peer_failed_dials":   "Attempts to open a session that failed.",
	"duty_events":         "Events of the supervisor.",
}

// eventKinds lists the events of the supervisor that are counted.
var eventKinds = []string{"panic", "ended", "backoff", "resume", "stopTimeout", "other"}

// describe sets the help texts and registers the supervisor's counters, so that they
// are served before the first event.
func (f *Frame) describe() {
	for name, text := range help {
		f.page.Describe(name, text)
	}
	for _, k := range eventKinds {
		f.countEvent(k, 0)
	}
}

func (f *Frame) countEvent(kind string, n int64) {
	f.Scope.Tagged(map[string]string{"event": kind}).Counter("duty_events").Inc(n)
}

// Metrics returns the handler of the metrics.
func (f *Frame) Metrics() http.Handler { return f.page }

// OnScrape adds a function that sets metrics before a page of metrics is built.
func (f *Frame) OnScrape(set func()) { f.page.OnScrape(set) }

// Total sets a counter of the metrics to its total since the start.
func (f *Frame) Total(name string, tags map[string]string, total uint64) {
	f.page.Total(name, tags, total)
}
