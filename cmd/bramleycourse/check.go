package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path"
	"slices"
	"strings"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/lint"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

type checkCmd struct{ lint.Flags }

// Run checks a declaration.
func (c *checkCmd) Run(ctx context.Context) error {
	return c.Flags.Run(ctx, os.Stdout, c.format())
}

func (c *checkCmd) format() lint.Format {
	return lint.Format{Check: checkDeclaration, ReadInForce: c.readInForce, Compare: compareDeclarations}
}

// checkDeclaration returns the findings in a declaration.
func checkDeclaration(b []byte) []lint.Finding {
	root, syntax := lint.Parse(b)
	d, err := decl.Decode(b)
	var wrong *decl.FieldError
	switch {
	case err == nil:
	case syntax != nil:
		return []lint.Finding{*syntax}
	case errors.As(err, &wrong):
		return []lint.Finding{errorAt(root, wrong)}
	default:
		return []lint.Finding{{Severity: lint.Error, Message: err.Error()}}
	}
	var fs []lint.Finding
	for _, p := range d.Problems() {
		fs = append(fs, errorAt(root, p))
	}
	warn := func(path, message string) {
		fs = append(fs, lint.Finding{Severity: lint.Warning, Line: root.LineOf(path), Field: path, Message: message})
	}
	for i, s := range d.Services {
		warnOfService(fmt.Sprintf("services[%d]", i), d, &s, warn)
	}
	for _, name := range d.Unserved() {
		warn("evacuated", unservedWarning(name))
	}
	return fs
}

func errorAt(root *lint.Node, e *decl.FieldError) lint.Finding {
	return lint.Finding{Severity: lint.Error, Line: root.LineOf(e.Path), Field: e.Path, Message: e.Reason}
}

// warnOfService warns of stream paths and shares without an effect, and of limits
// that contradict each other.
func warnOfService(at string, d *decl.Declaration, s *decl.Service, warn func(path, message string)) {
	for i, p := range s.StreamPaths {
		field := fmt.Sprintf("%s.streamPaths[%d]", at, i)
		if c := cleanPrefix(p); c != p {
			warn(field, fmt.Sprintf("%q never matches, because the paths of requests are cleaned first; %q would", p, c))
			continue
		}
		if j := slices.IndexFunc(s.StreamPaths[:i], func(q string) bool { return strings.HasPrefix(p, q) }); j >= 0 {
			warn(field, fmt.Sprintf("%q is not needed: streamPaths[%d] %q matches first", p, j, s.StreamPaths[j]))
		}
	}
	if len(d.Places) > 0 && !slices.ContainsFunc(d.Places, func(p decl.Place) bool { return s.Weight(p.Name, "") > 0 }) {
		warn(at+".shares", "every place has weight 0, so no upstream gets new flows")
	}
	if l := s.Limits.WithDefaults(); l.Connections < l.Slots {
		warn(at+".limits", fmt.Sprintf("connections %d is less than slots %d: a slot needs an open flow", l.Connections, l.Slots))
	}
}

// cleanPrefix returns the form of a prefix that the path of a request can have.
func cleanPrefix(p string) string {
	c := path.Clean(p)
	if strings.HasSuffix(p, "/") && c != "/" {
		c += "/"
	}
	return c
}

// errNoPlatform is returned if the version in force is asked for without a platform.
var errNoPlatform = errors.New("--platform is missing")

// readInForce returns the declaration in force and the findings about the upstreams
// that the platform lists.
func (c *checkCmd) readInForce(ctx context.Context, file []byte) ([]byte, []lint.Finding, error) {
	if c.Platform == "" {
		return nil, nil, errNoPlatform
	}
	d, err := decl.Parse(file)
	if err != nil {
		return nil, nil, err
	}
	client := plat.New(c.Platform, platformTimeout)
	cur, err := client.Get(ctx, plat.KindConfig, d.Name)
	var missing *plat.NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return nil, nil, err
	}
	var o config.Object
	if err == nil {
		if err := json.Unmarshal(cur.Value, &o); err != nil {
			return nil, nil, fmt.Errorf("configuration %q on the platform: %w", d.Name, err)
		}
	}
	root, _ := lint.Parse(file)
	var fs []lint.Finding
	for _, w := range upstreamWarnings(ctx, client, d) {
		fs = append(fs, lint.Finding{Severity: lint.Warning, Line: root.LineOf("evacuated"), Field: "evacuated", Message: w})
	}
	return o.Declaration, fs, nil
}

func compareDeclarations(old, file []byte) ([]string, error) {
	next, err := decl.Parse(file)
	if err != nil || old == nil {
		return decl.Differences(nil, next), err
	}
	before, err := decl.Parse(old)
	if err != nil {
		return nil, err
	}
	return decl.Differences(before, next), nil
}
