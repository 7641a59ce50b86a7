package main

import (
	"fmt"
	"os"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/trace"
)

type explainCmd struct {
	Flow   string                   `arg:"" help:"Flow as caller>route, or a part of it such as the caller's address and port."`
	Logs   []string                 `arg:"" help:"Log files of the processes." type:"existingfile"`
	Offset map[string]time.Duration `help:"Errors of clocks, as in --offset side-1=250ms."`
}

// Run prints the logged decisions about a flow and the state of the processes that
// made them.
func (c *explainCmd) Run() error {
	r := trace.New(c.Flow, c.Offset)
	for _, path := range c.Logs {
		f, err := os.Open(path)
		if err != nil {
			return err
		}
		err = r.Read(f)
		_ = f.Close() // The file was only read.
		if err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return r.Print(os.Stdout)
}
