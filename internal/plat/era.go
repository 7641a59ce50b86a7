package plat

import (
	"fmt"
	"net/http"
	"sync"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Era numbers the times that the platform's store has come back from a copy of its objects.
// Each time, versions go back and are given out again, so versions of different eras cannot
// be compared. It is 0 if the platform names none.
type Era uint64

// Stamp is a version of the store and its era.
type Stamp struct {
	Era     Era
	Version Version
}

// Before reports whether s is earlier than o. Eras order stamps before versions do.
func (s Stamp) Before(o Stamp) bool {
	return s.Era < o.Era || s.Era == o.Era && s.Version < o.Version
}

// EraError reports a call that was not sent, or an answer that does not count, because the
// store is in another era.
type EraError struct {
	// Expected is the era of the call's version, or the latest that is known; Found is that
	// of the store or of its answer.
	Expected, Found Era
}

// Error implements error.
func (e *EraError) Error() string {
	return fmt.Sprintf("the store is in era %d, the call expected era %d", e.Found, e.Expected)
}

// CallOption changes a call.
type CallOption func(*Op)

// InEra makes a call depend on the era of the version that it carries: a write must not hit,
// and a watch not continue from, an object of another era that has the same version.
func InEra(e Era) CallOption { return func(o *Op) { o.Era, o.InEra = e, true } }

func newOp(o Op, options []CallOption) Op {
	for _, change := range options {
		change(&o)
	}
	return o
}

// checkEra returns an EraError if a call must not be sent in an era.
func (o *Op) checkEra(e Era) error {
	if o.InEra && o.Era != e {
		return &EraError{Expected: o.Era, Found: e}
	}
	return nil
}

// eras is the latest era that a client knows.
type eras struct {
	mu      sync.Mutex
	current Era
	// rose is closed and replaced when current rises; nil until it is asked for.
	rose chan struct{}
}

// Era returns the latest era of the store that is known.
func (c *Client) Era() Era {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	return c.eras.current
}

// EraAfter returns a channel that is closed once a later era is known.
func (c *Client) EraAfter(e Era) <-chan struct{} {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	if c.eras.rose == nil {
		c.eras.rose = make(chan struct{})
	}
	if c.eras.current > e {
		risen := make(chan struct{})
		close(risen)
		return risen
	}
	return c.eras.rose
}

// NoteEra records an era that an answer or another process names. Earlier ones are ignored.
func (c *Client) NoteEra(e Era) {
	c.eras.mu.Lock()
	defer c.eras.mu.Unlock()
	before := c.eras.current
	if e <= before {
		return
	}
	c.eras.current = e
	if c.eras.rose != nil {
		close(c.eras.rose)
		c.eras.rose = nil
	}
	if before > 0 && c.Log != nil {
		c.Log.WithFields(logrus.Fields{"event": "storeEra", "era": e, "before": before}).Warn("the store has come back from a copy")
	}
}

// answerEra returns the era of an answer and records it. An answer that names none is taken
// to be of the era that was known when the call began.
func (c *Client) answerEra(h http.Header, known Era) Era {
	if c.wire.Era == nil {
		return known
	}
	e := c.wire.Era(h)
	if e == 0 {
		return known
	}
	c.NoteEra(e)
	return e
}

// checkAnswer returns an EraError if the answer to a call does not count: it is of another
// era than the version in the call, or of an earlier one than is known now.
func (c *Client) checkAnswer(o Op, answered Era) error {
	if err := o.checkEra(answered); err != nil {
		return err
	}
	if current := c.Era(); answered < current {
		return &EraError{Expected: current, Found: answered}
	}
	return nil
}

// setEra sets the era of what an answer contains.
func (l *List) setEra(e Era, err error) {
	l.Era = e
	for n := range l.Objects {
		l.Objects[n].Era = e
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Era = e
	}
}
