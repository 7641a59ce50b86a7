package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// Latency summarizes the latencies of the answered requests of one kind, from the
// scheduled start to the last byte of the answer.
type Latency struct {
	Count     int64   `json:"count"`
	P50Millis float64 `json:"p50Millis"`
	P99Millis float64 `json:"p99Millis"`
	// P999Millis is the 99.9th percentile.
	P999Millis float64 `json:"p999Millis"`
	MaxMillis  float64 `json:"maxMillis"`
}

// ServiceResult is the part of a Result that concerns one service.
type ServiceResult struct {
	// Flows counts the QUIC connections opened.
	Flows     uint64           `json:"flows"`
	Requests  int              `json:"requests"`
	Downloads int              `json:"downloads"`
	Events    int              `json:"events"`
	Latency   map[Kind]Latency `json:"latency"`
	// RequestImbalance and BusyImbalance are max/mean, over the stubs of the
	// service, of requests and of the time that slots were held; 0 without stubs.
	RequestImbalance float64 `json:"requestImbalance"`
	BusyImbalance    float64 `json:"busyImbalance"`
}

// Second holds the counts of scheduled requests in one second of the run: those
// due in it, and the outcomes that became known in it.
type Second struct {
	Offered  int `json:"offered"`
	Answered int `json:"answered"`
	NotRun   int `json:"notRun"`
	Unknown  int `json:"unknown"`
	Late     int `json:"late"`
}

// Result holds the measurements of one run.
type Result struct {
	// Flows counts the QUIC connections opened, LostConnections those of them that
	// ended without a clean close by either side.
	Flows           uint64 `json:"flows"`
	LostConnections uint64 `json:"lostConnections"`
	Requests        int    `json:"requests"`
	Downloads       int    `json:"downloads"`
	Events          int    `json:"events"`
	// BrokenFlows counts failures, not connections: each feed that could not be
	// opened or that ended before the run, each break of a feed, each download that
	// failed other than as not run, and each request that failed but is in none of
	// NotRun, Late and Unknown.
	BrokenFlows  int `json:"brokenFlows"`
	WrongAnswers int `json:"wrongAnswers"`
	NotRun       int `json:"notRun"`
	Unknown      int `json:"unknown"`
	// Late counts requests that failed because their deadline passed after they
	// were sent. They may have run.
	Late int `json:"late"`
	// Overruns counts arrivals dropped because too many requests were in progress.
	Overruns int `json:"overruns"`
	// Unchecked counts requests that were not compared with the stubs because
	// there were too many ids to keep.
	Unchecked            int    `json:"unchecked"`
	LongestSilenceMillis int64  `json:"longestSilenceMillis"`
	FeedMoves            uint64 `json:"feedMoves"`
	Migrations           uint64 `json:"migrations"`
	Retries              uint64 `json:"retries"`

	// Misrouted, RanTwice, NotRunButRan and Lost come from the comparison with
	// the stubs.
	Misrouted int `json:"misrouted"`
	RanTwice  int `json:"ranTwice"`
	// NotRunButRan counts requests reported as not run that a stub ran, Lost
	// answered requests that no stub ran. Lost stays 0 if a stub did not record all
	// request ids.
	NotRunButRan int `json:"notRunButRan"`
	Lost         int `json:"lost"`

	Services map[string]*ServiceResult `json:"services"`
	Seconds  []Second                  `json:"seconds"`
	// Faults describes the first broken flows and wrong answers.
	Faults []string `json:"faults"`
	// StubErrors names the stubs whose counts could not be read.
	StubErrors []string `json:"stubErrors"`
}

// Failed reports whether a flow broke, an answer was wrong, a guarantee was
// violated or the counts of a stub could not be read.
func (s *Result) Failed() bool {
	return s.BrokenFlows+s.WrongAnswers+s.Misrouted+s.RanTwice+s.NotRunButRan+s.Lost+len(s.StubErrors) > 0 || s.LostConnections > 0
}

// maxFaults bounds the number of faults that are described.
const maxFaults = 10

// addBroken counts a broken flow.
func (s *Result) addBroken(service, what string, err error) {
	s.BrokenFlows++
	s.addFault(service + " " + what + ": " + err.Error())
}

// addWrongAnswer counts a wrong answer.
func (s *Result) addWrongAnswer(service, what string) {
	s.WrongAnswers++
	s.addFault(service + " " + what + ": wrong answer")
}

func (s *Result) addFault(text string) {
	if len(s.Faults) < maxFaults {
		s.Faults = append(s.Faults, text)
	}
}

// finish collects the statistics of the clients and the latencies, and compares
// with the stubs.
func (r *runner) finish(before map[string]*stubCounts) {
	s := &r.result
	for name, cs := range r.clients {
		for _, c := range cs {
			n := c.Stats()
			s.Flows += n.Flows
			s.Services[name].Flows += n.Flows
			s.LostConnections += n.BrokenFlows
			s.Migrations += n.Migrations
			s.Retries += n.Retries
			c.Close()
		}
	}
	for name, kinds := range r.latency {
		for k, h := range kinds {
			at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
			s.Services[name].Latency[k] = Latency{h.TotalCount(), at(50), at(99), at(99.9), at(100)}
		}
	}
	r.compareWithStubs(before, r.readStubCounts())
}

// Print writes the result as a table.
func (s *Result) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "service\tflows\twork\tanswered\tp50 ms\tp99 ms\tp99.9 ms\tmax ms\timbalance: requests\tbusy time\t")
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		v := s.Services[name]
		fmt.Fprintf(w, "%s\t%d\t\t\t\t\t\t\t%.2f\t%.2f\t\n", name, v.Flows, v.RequestImbalance, v.BusyImbalance)
		for _, k := range slices.Sorted(maps.Keys(v.Latency)) {
			l := v.Latency[k]
			fmt.Fprintf(w, "\t\t%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\t\t\n", k, l.Count, l.P50Millis, l.P99Millis, l.P999Millis, l.MaxMillis)
		}
		if v.Events > 0 {
			fmt.Fprintf(w, "\t\tfeed events\t%d\t\t\t\t\t\t\t\n", v.Events)
		}
	}
	w.Flush()
	fmt.Fprintf(out, "\n%d flows, %d requests, %d downloads, %d feed events; longest silence of a feed %d ms, %d feed moves\n",
		s.Flows, s.Requests, s.Downloads, s.Events, s.LongestSilenceMillis, s.FeedMoves)
	fmt.Fprintf(out, "not run %d, outcome unknown %d, late %d, retries %d, overruns %d, unchecked %d\n",
		s.NotRun, s.Unknown, s.Late, s.Retries, s.Overruns, s.Unchecked)
	fmt.Fprintf(out, "broken flows %d, lost connections %d, wrong answers %d, misrouted %d, ran twice %d, not run but ran %d, lost %d\n",
		s.BrokenFlows, s.LostConnections, s.WrongAnswers, s.Misrouted, s.RanTwice, s.NotRunButRan, s.Lost)
	for _, f := range s.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
	for _, e := range s.StubErrors {
		fmt.Fprintln(out, "counts of a stub could not be read:", e)
	}
}
