package lint

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
)

// Severity says how bad a finding is.
type Severity string

// Severities.
const (
	// Error is for what the processes refuse and for values that contradict each
	// other.
	Error Severity = "error"
	// Warning is for what is accepted but has no effect, or one that is seldom meant.
	Warning Severity = "warning"
)

// Finding is one remark about a file.
type Finding struct {
	Severity Severity `json:"severity"`
	File     string   `json:"file"`
	// Line is 0 if the finding is not about a line.
	Line int `json:"line,omitempty"`
	// Field is the path of the field, empty for the whole file.
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as one line, in the form that editors understand.
func (f *Finding) String() string {
	s := f.File
	if f.Line > 0 {
		s += fmt.Sprintf(":%d", f.Line)
	}
	s += fmt.Sprintf(": %s: ", f.Severity)
	if f.Field != "" {
		s += f.Field + ": "
	}
	return s + f.Message
}

// Report is the result of a check.
type Report struct {
	File     string    `json:"file"`
	Findings []Finding `json:"findings"`
	// Against names what the file was compared with; empty if it was not.
	Against string `json:"against,omitempty"`
	// Differences has a line for each difference; null if the file was not compared.
	Differences []string `json:"differences"`
}

// add appends findings and names the file in them.
func (r *Report) add(fs ...Finding) {
	for _, f := range fs {
		f.File = r.File
		r.Findings = append(r.Findings, f)
	}
}

// count returns the number of findings of a severity.
func (r *Report) count(s Severity) (n int) {
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// sort orders the findings by line.
func (r *Report) sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int { return a.Line - b.Line })
}

// write prints the report, as JSON if asked for.
func (r *Report) write(w io.Writer, asJSON bool) error {
	if asJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		enc.SetEscapeHTML(false)
		return enc.Encode(r)
	}
	for _, f := range r.Findings {
		if _, err := fmt.Fprintln(w, f.String()); err != nil {
			return err
		}
	}
	for _, l := range r.Differences {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return err
		}
	}
	if r.Against != "" && r.Differences != nil && len(r.Differences) == 0 {
		fmt.Fprintf(w, "no difference from %s\n", r.Against)
	}
	_, err := fmt.Fprintf(w, "%s: errors %d, warnings %d\n", r.File, r.count(Error), r.count(Warning))
	return err
}
