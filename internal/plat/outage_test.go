package plat

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// TestOutageLog checks that an outage is logged, and that neither a long nor a
// flapping one floods the log.
func TestOutageLog(t *testing.T) {
	l, hook := test.NewNullLogger()
	l.SetOutput(io.Discard)
	var o outageLog
	begin := time.Now()
	bad := errors.New("refused")
	for _, c := range []struct {
		second int
		err    error
	}{{0, nil}, {1, context.Canceled}, {2, bad}, {3, bad}, {4, nil}, {5, bad}, {30, bad}, {31, nil}, {32, bad}, {33, nil}, {40, nil}, {42, bad}} {
		o.record(logrus.NewEntry(l), begin.Add(time.Duration(c.second)*time.Second), c.err)
	}
	var have []string
	for _, e := range hook.AllEntries() {
		have = append(have, e.Message)
	}
	want := []string{"platform calls fail", "platform calls succeed again", "platform calls fail"}
	if !slices.Equal(have, want) {
		t.Errorf("want %q, have %q", want, have)
	}
}
