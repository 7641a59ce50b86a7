package plat

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	mrand "math/rand/v2"

	"github.com/juju/errors"
)

// OutcomeError reports a write that may or may not have taken effect: its
// response was lost, and the object could not be read before the context ended
// or has been overwritten by another writer since.
type OutcomeError struct {
	Kind Kind
	Name string
	// Expected is the version that the write was conditional on.
	Expected Version
	// Current is the version found afterwards; zero when none could be read.
	Current Version
	// Err is the last error of a call.
	Err error
}

// Error implements error.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write to %s object %q after version %d is not known: %v", e.Kind, e.Name, e.Expected, e.Err)
}

// Unwrap returns the last error of a call.
func (e *OutcomeError) Unwrap() error { return e.Err }

const (
	// minRetry and maxRetry are the first and the greatest delay between two tries
	// of a write, before jitter.
	minRetry = 50 * time.Millisecond
	maxRetry = time.Second
)

// writerToken is the part of a value that identifies the write.
type writerToken struct {
	Writer string `json:"writer"`
}

// conditionalWrite is a write that is retried until its outcome is known. Its
// random token identifies it in the stored value.
type conditionalWrite struct {
	c      *Client
	kind   Kind
	name   string
	writer string
	body   []byte
	// expected is the version that the write is conditional on, and era its era.
	expected Version
	era      Era
	// inEra is set if expected was read.
	inEra bool
	// lost is true after an attempt whose response did not arrive.
	lost bool
}

// PutOnce reads an object, builds its next value and writes it if the object
// has not changed in between. If the object does not exist, build gets a current
// object of version zero. The value must be a JSON object with the field "writer"
// set to the given token. After a lost response PutOnce reads the object back and
// either finds its token or repeats the same conditional write, until the context
// ends. It returns the written version, a *ConflictError, an *OutcomeError, or the
// error of a write that did not take effect.
func (c *Client) PutOnce(ctx context.Context, k Kind, name string, build func(current Object, writer string) (any, error)) (Version, error) {
	current, err := c.Get(ctx, k, name)
	var missing *NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, errors.Trace(err)
	}
	w := conditionalWrite{c: c, kind: k, name: name, writer: rand.Text(), expected: current.Version, era: current.Era, inEra: current.Version != 0}
	value, err := build(current, w.writer)
	if err != nil {
		return 0, errors.Trace(err)
	}
	if w.body, err = json.Marshal(value); err != nil {
		return 0, errors.Trace(err)
	}
	var t writerToken
	if json.Unmarshal(w.body, &t) != nil || t.Writer != w.writer {
		return 0, errors.Errorf("value of %s object %q does not contain the writer token", k, name)
	}
	return w.run(ctx)
}

func (w *conditionalWrite) run(ctx context.Context) (Version, error) {
	for wait := minRetry; ; wait = min(2*wait, maxRetry) {
		v, done, err := w.attempt(ctx)
		if done {
			return v, err
		}
		select {
		case <-time.After(wait/2 + mrand.N(wait)):
		case <-ctx.Done():
			return 0, &OutcomeError{Kind: w.kind, Name: w.name, Expected: w.expected, Err: err}
		}
	}
}

// attempt sends the write once. If the response leaves the outcome open, it reads
// the object back. done is false if the write has to be repeated.
func (w *conditionalWrite) attempt(ctx context.Context) (v Version, done bool, err error) {
	w.c.Calls.Writes.Add(1)
	o, err := w.c.put(ctx, Op{Verb: PutVerb, Kind: w.kind, Name: w.name, Value: w.body, Current: w.expected, Era: w.era, InEra: w.inEra})
	var (
		conflict *ConflictError
		status   *StatusError
	)
	switch {
	case err == nil:
		return o.Version, true, nil
	case errors.As(err, &conflict) && !w.lost:
		return 0, true, err
	case errors.As(err, &status) && status.Code < http.StatusInternalServerError:
		return 0, true, w.rejected(err)
	case conflict == nil:
		w.lost = true
	}
	return w.readBack(ctx, err)
}

// rejected returns an OutcomeError if an earlier attempt lost its response: the
// rejection of this attempt says nothing about the earlier one.
func (w *conditionalWrite) rejected(err error) error {
	if w.lost {
		return &OutcomeError{Kind: w.kind, Name: w.name, Expected: w.expected, Err: err}
	}
	return err
}

// readBack reads the object and looks for the token. While the object still has
// the expected version, repeating the write is safe: if the earlier attempt is
// only delayed, the condition lets just one of the two take effect.
func (w *conditionalWrite) readBack(ctx context.Context, cause error) (Version, bool, error) {
	o, err := w.c.Get(ctx, w.kind, w.name)
	var missing *NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return 0, false, err
	}
	var t writerToken
	if err == nil && json.Unmarshal(o.Value, &t) == nil && t.Writer == w.writer {
		return o.Version, true, nil
	}
	if o.Version == w.expected && o.Era == w.era {
		return 0, false, cause
	}
	return 0, true, &OutcomeError{Kind: w.kind, Name: w.name, Expected: w.expected, Current: o.Version, Err: cause}
}
