package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

type applyCmd struct {
	Platform         string        `help:"Base URL of the platform." required:""`
	ExpectGeneration *uint64       `help:"Refuse with a conflict unless this generation is in force; 0 means none."`
	DryRun           bool          `help:"Show the difference and write nothing."`
	Timeout          time.Duration `help:"How long to try to learn the outcome of a write." default:"10s"`
	File             string        `arg:"" help:"Declaration, JSON; - is standard input."`

	out io.Writer
}

// Help returns the help text on the exit statuses.
func (c *applyCmd) Help() string {
	return "Exit status: 0 accepted or nothing to change, 1 invalid or not written, 3 conflict with another change, 4 outcome not known."
}

// platformTimeout bounds one call to the platform.
const platformTimeout = 2 * time.Second

// GenerationError reports that the generation stored on the platform is not the
// expected one.
type GenerationError struct {
	Name            string
	Expected, Found ident.Generation
	Version         plat.Version
}

// Error implements error.
func (e *GenerationError) Error() string {
	return fmt.Sprintf("configuration %q: expected generation %d, found generation %d at version %d", e.Name, e.Expected, e.Found, e.Version)
}

// errNoChange is returned by nextObject when there is nothing to write.
var errNoChange = errors.New("nothing to write")

// apply holds the state of one run of the apply command.
type apply struct {
	*applyCmd
	next *decl.Declaration
	// base and version are the generation and object version that the write
	// is conditional on; both are zero if no object exists.
	base    ident.Generation
	version plat.Version
}

// Run writes the declaration to the platform with the next generation.
func (c *applyCmd) Run(ctx context.Context) error {
	if c.out == nil {
		c.out = os.Stdout
	}
	d, err := readDeclaration(c.File)
	if err != nil {
		return &exitError{exitInvalid, err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	a := apply{applyCmd: c, next: d}
	client := plat.New(c.Platform, platformTimeout)
	for _, w := range evacuationWarnings(ctx, client, d) {
		fmt.Fprintln(c.out, "warning:", w)
	}
	v, err := client.PutOnce(ctx, plat.KindConfig, d.Name, a.nextObject)
	if err == nil {
		fmt.Fprintf(c.out, "configuration %q: generation %d accepted at version %d\n", d.Name, a.base+1, v)
		return nil
	}
	return a.toExitError(ctx, client, err)
}

// nextObject prints the differences from the current declaration and returns the
// configuration object to write.
func (a *apply) nextObject(current plat.Object, writer string) (any, error) {
	var (
		o   config.Object
		old *decl.Declaration
	)
	if current.Version != 0 {
		if err := json.Unmarshal(current.Value, &o); err != nil {
			return nil, fmt.Errorf("configuration %q on the platform: %w", a.next.Name, err)
		}
		var err error
		if old, err = decl.Parse(o.Declaration); err != nil {
			fmt.Fprintf(a.out, "the declaration in force cannot be compared: %v\n", err)
		}
	}
	a.base, a.version = o.Generation, current.Version
	if e := a.ExpectGeneration; e != nil && ident.Generation(*e) != a.base {
		return nil, &GenerationError{a.next.Name, ident.Generation(*e), a.base, a.version}
	}
	lines := decl.Differences(old, a.next)
	for _, l := range lines {
		fmt.Fprintln(a.out, l)
	}
	if old != nil && len(lines) == 0 {
		fmt.Fprintf(a.out, "configuration %q: no difference, generation %d remains\n", a.next.Name, a.base)
		return nil, errNoChange
	}
	if a.DryRun {
		fmt.Fprintf(a.out, "configuration %q: dry run, generation %d remains\n", a.next.Name, a.base)
		return nil, errNoChange
	}
	b, err := a.next.JSON()
	if err != nil {
		return nil, err
	}
	return config.Object{Generation: a.base + 1, Writer: writer, Declaration: b}, nil
}

// toExitError maps the error of a write to an exit status and a message.
func (a *apply) toExitError(ctx context.Context, client *plat.Client, err error) error {
	var (
		conflict *plat.ConflictError
		expected *GenerationError
		unknown  *plat.OutcomeError
	)
	switch {
	case errors.Is(err, errNoChange):
		return nil
	case errors.As(err, &expected):
		return &exitError{exitConflict, err}
	case errors.As(err, &unknown):
		return &exitError{exitUnknown, fmt.Errorf("%w; the write was generation %d on version %d; run apply again to see what is in force", err, a.base+1, a.version)}
	case errors.As(err, &conflict):
		return &exitError{exitConflict, a.conflictError(ctx, client, conflict)}
	}
	return &exitError{exitInvalid, err}
}

// conflictError describes a write that failed because another writer changed
// the object first.
func (a *apply) conflictError(ctx context.Context, client *plat.Client, conflict *plat.ConflictError) error {
	var o config.Object
	found := "a generation that cannot be read"
	cur, err := client.Get(ctx, plat.KindConfig, a.next.Name)
	if err == nil && json.Unmarshal(cur.Value, &o) == nil {
		found = fmt.Sprintf("generation %d at version %d", o.Generation, cur.Version)
	}
	return fmt.Errorf("configuration %q: based on generation %d at version %d, found %s; nothing was written: %w", a.next.Name, a.base, a.version, found, conflict)
}

// readDeclaration reads and validates a declaration; - means standard input.
func readDeclaration(file string) (*decl.Declaration, error) {
	var (
		b   []byte
		err error
	)
	if file == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	d, err := decl.Parse(b)
	if err != nil {
		return nil, fmt.Errorf("declaration %s: %w", file, err)
	}
	return d, nil
}
