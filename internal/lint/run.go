package lint

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"
)

// Exit statuses of a check.
const (
	exitFindings  = 1
	exitCannotRun = 2
)

// InForce is the value of Against for the version in force.
const InForce = "in-force"

// maxFileSize is the greatest size of a file in bytes. The platform stores 1 MiB.
const maxFileSize = 4 << 20

// Flags are the flags of the verb check, the same in all programs.
type Flags struct {
	Against  string        `help:"Show the difference from this file, or from the version in force: in-force." placeholder:"FILE"`
	Platform string        `help:"Base URL of the platform, for in-force." placeholder:"URL"`
	Strict   bool          `help:"Let warnings fail too."`
	JSON     bool          `name:"json" help:"Print JSON."`
	Timeout  time.Duration `help:"How long to try to read from the platform." default:"10s"`
	File     string        `arg:"" help:"Configuration, JSON; - is standard input."`
}

// Help returns the help text on the exit statuses.
func (c *Flags) Help() string {
	return "Exit status: 0 clean or warnings only, 1 errors found (with --strict also warnings), 2 the check could not run."
}

// Format is a format of configurations.
type Format struct {
	// Check returns the findings in a file.
	Check func(file []byte) []Finding
	// ReadInForce returns the version in force, nil if there is none. Its findings are
	// about the file together with what the platform lists.
	ReadInForce func(ctx context.Context, file []byte) (old []byte, fs []Finding, err error)
	// Compare describes how a file differs from an earlier version, nil if there is
	// none. The file has no finding of severity Error.
	Compare func(old, file []byte) (lines []string, err error)
}

// ExitError is an error with an exit status.
type ExitError struct {
	Status int
	Err    error
}

// Error implements error.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the wrapped error.
func (e *ExitError) Unwrap() error { return e.Err }

// ExitCode implements kong.ExitCoder.
func (e *ExitError) ExitCode() int { return e.Status }

// FindingsError reports how many findings made a check fail.
type FindingsError struct {
	File             string
	Errors, Warnings int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%s must not be sent: errors %d, warnings %d", e.File, e.Errors, e.Warnings)
}

// Run checks the file and prints a report to w. It returns an *ExitError unless the
// exit status is 0.
func (c *Flags) Run(ctx context.Context, w io.Writer, f Format) error {
	file, err := readFile(c.File)
	if err != nil {
		return &ExitError{exitCannotRun, err}
	}
	r := Report{File: c.File, Findings: []Finding{}}
	r.add(f.Check(file)...)
	if c.Against != "" {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		if err := c.compare(ctx, &r, file, f); err != nil {
			return &ExitError{exitCannotRun, err}
		}
	}
	r.sort()
	if err := r.write(w, c.JSON); err != nil {
		return &ExitError{exitCannotRun, err}
	}
	if n, m := r.count(Error), r.count(Warning); n > 0 || c.Strict && m > 0 {
		return &ExitError{exitFindings, &FindingsError{c.File, n, m}}
	}
	return nil
}

// compare adds the difference to the report. A file with errors is not compared.
func (c *Flags) compare(ctx context.Context, r *Report, file []byte, f Format) error {
	r.Against = c.Against
	if r.count(Error) > 0 {
		return nil
	}
	var old []byte
	if c.Against == InForce {
		r.Against = "the version in force"
		var (
			fs  []Finding
			err error
		)
		if old, fs, err = f.ReadInForce(ctx, file); err != nil {
			return fmt.Errorf("the version in force cannot be read: %w", err)
		}
		r.add(fs...)
	} else {
		var err error
		if old, err = readFile(c.Against); err != nil {
			return err
		}
	}
	lines, err := f.Compare(old, file)
	if err != nil {
		return fmt.Errorf("%s cannot be compared: %w", r.Against, err)
	}
	r.Differences = append([]string{}, lines...)
	return nil
}

// SizeError reports a file that is too large to be checked.
type SizeError struct{ File string }

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s has more than %d bytes", e.File, maxFileSize)
}

// readFile reads a file; - is standard input.
func readFile(name string) ([]byte, error) {
	in := os.Stdin
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer f.Close()
		in = f
	}
	b, err := io.ReadAll(io.LimitReader(in, maxFileSize+1))
	if err == nil && len(b) > maxFileSize {
		err = &SizeError{name}
	}
	return b, err
}
