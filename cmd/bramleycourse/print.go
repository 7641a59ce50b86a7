package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

type printCmd struct {
	Example string `help:"Print an example instead: ${enum}." enum:"consorcio,ezelpad," default:""`
	File    string `arg:"" optional:"" help:"Declaration, JSON; - is standard input, which is also the default." default:"-"`
}

// Run validates a declaration, or takes an example, and prints its canonical form.
func (c *printCmd) Run() error {
	switch c.Example {
	case "consorcio":
		return consorcioExample().Print(os.Stdout)
	case "ezelpad":
		return ezelpadExample().Print(os.Stdout)
	}
	d, err := readDeclaration(c.File)
	if err != nil {
		return err
	}
	return d.Print(os.Stdout)
}

// consorcioExample returns the example declaration with streaming services.
func consorcioExample() *decl.Declaration {
	limits := decl.WithLimits(decl.Limits{Slots: 4, Connections: 2000})
	return decl.New("consorcio").
		Place("recife", "nordeste").
		Place("fortaleza", "nordeste").
		Place("salvador", "nordeste").
		Service("listas", "10.20.0.1:443", decl.Streams("/feeds/"), limits).
		Service("fichas", "10.20.0.2:443", decl.Streams("/sheets/"), limits)
}

// ezelpadExample returns the example declaration without streaming services.
func ezelpadExample() *decl.Declaration {
	limits := decl.WithLimits(decl.Limits{Slots: 5, Connections: 2000})
	return decl.New("ezelpad").
		Place("namur-a", "wallonia").
		Place("namur-b", "wallonia").
		Place("liege-c", "wallonia").
		Service("trek", "10.30.0.1:443", limits).
		Service("map", "10.30.0.2:443", limits)
}

// printJSON writes a value as indented JSON.
func printJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
