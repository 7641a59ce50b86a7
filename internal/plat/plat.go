// Package plat is the client of the platform's object API: versioned objects,
// conditional writes and watches over HTTP.
package plat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// Kind is a kind of objects.
type Kind string

// Kinds of objects that the system keeps on the platform.
const (
	KindConfig   Kind = "config"
	KindEndpoint Kind = "endpoint"
	KindBalancer Kind = "balancer"
)

// Version is the version of an object; it rises with each write to the store.
type Version uint64

// Object is one object of the platform.
type Object struct {
	Name    string          `json:"name"`
	Version Version         `json:"version"`
	Value   json.RawMessage `json:"value,omitempty"`
	// Deleted marks the removal of an object in a watch result.
	Deleted bool `json:"deleted,omitempty"`
}

// List is the answer to a list or watch call.
type List struct {
	// Version is the store's version up to which Objects is complete.
	Version Version  `json:"version"`
	Objects []Object `json:"objects"`
}

// ConflictError reports that a conditional write found another version.
type ConflictError struct {
	Kind Kind
	Name string
	// Current is the version found; zero when the object does not exist.
	Current Version
	// Found is the value of that version, if the store told it.
	Found json.RawMessage
	// Expected is the version that the write was conditional on.
	Expected Version
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s object %q has version %d, the write expected version %d", e.Kind, e.Name, e.Current, e.Expected)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s object %q does not exist", e.Kind, e.Name)
}

// StatusError reports a call that the platform refused for another reason.
type StatusError struct {
	Code int
	Kind Kind
	Name string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d for %s object %q", e.Code, e.Kind, e.Name)
}

// GoneError reports that the changes since a version are no longer kept.
type GoneError struct{ Since Version }

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("changes since version %d are no longer kept", e.Since)
}

// Calls counts calls to the platform.
type Calls struct {
	Reads, Writes, Watches, Failures atomic.Uint64
	// OverBudget counts calls beyond the budget of the process.
	OverBudget atomic.Uint64
}

// Verb says what a call does.
type Verb uint8

// String implements fmt.Stringer.
func (v Verb) String() string {
	return [...]string{"unknown", "get", "list", "watch", "put", "delete"}[min(v, DeleteVerb)]
}

// Verbs of the object API.
const (
	GetVerb Verb = iota + 1
	ListVerb
	WatchVerb
	PutVerb
	DeleteVerb
)

// Op is one call of the object API.
type Op struct {
	Verb Verb
	Kind Kind
	// Name is empty for ListVerb and WatchVerb.
	Name string
	// Current is the version that a write is conditional on; zero means that the
	// object must not exist.
	Current Version
	// Since and Wait are set for WatchVerb.
	Since Version
	Wait  time.Duration
	// After is the name after which a list continues.
	After string
	// Value is the value to write.
	Value []byte
}

// Call is an encoded call.
type Call struct {
	Method string
	// Target is the path and the query.
	Target string
	Header http.Header
	Body   []byte
}

// Answer is the answer to a call as it was received.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Wire is the format of a platform's object API.
type Wire struct {
	// Encode returns the call of an operation.
	Encode func(Op) (Call, error)
	// Decode returns the content of an answer, or one of the errors of this
	// package. more is the name after which a list continues.
	Decode func(op Op, a Answer) (l List, more string, err error)
}

// Client calls the object API.
type Client struct {
	// Calls counts every call, including failed ones.
	Calls Calls
	// Log, when set before the first call, tells when calls fail and recover.
	Log *logrus.Entry

	report   report
	spending spending
	base     string
	timeout  time.Duration
	http     *http.Client
	wire     Wire
}

// Option changes a client.
type Option func(*Client)

// WithWire makes the client speak another format than the project's own.
func WithWire(w Wire) Option { return func(c *Client) { c.wire = w } }

// WithTransport sets how the client connects.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client of the API at the base URL.
func New(base string, timeout time.Duration, options ...Option) *Client {
	c := &Client{base: base, timeout: timeout, http: &http.Client{}, wire: ownWire}
	for _, o := range options {
		o(c)
	}
	return c
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, k Kind, name string) (Object, error) {
	c.Calls.Reads.Add(1)
	l, err := c.call(ctx, Op{Verb: GetVerb, Kind: k, Name: name}, c.timeout)
	return l.first(), err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, k Kind) (List, error) {
	var all List
	for o := (Op{Verb: ListVerb, Kind: k}); ; {
		c.Calls.Reads.Add(1)
		l, more, err := c.page(ctx, o, c.timeout)
		if err != nil {
			return List{}, err
		}
		// The version of the first page is the one that changes are watched from.
		if o.After == "" {
			all.Version = l.Version
		}
		all.Objects = append(all.Objects, l.Objects...)
		if more == "" {
			return all, nil
		}
		o.After = more
	}
}

// Watch waits up to the given time for changes after a version.
func (c *Client) Watch(ctx context.Context, k Kind, since Version, wait time.Duration) (List, error) {
	c.Calls.Watches.Add(1)
	l, err := c.call(ctx, Op{Verb: WatchVerb, Kind: k, Since: since, Wait: wait}, wait+c.timeout)
	var gone *GoneError
	if errors.As(err, &gone) {
		gone.Since = since
	}
	return l, err
}

// Put writes an object if its current version is the given one; zero means
// that it must not exist. It returns the new version.
func (c *Client) Put(ctx context.Context, k Kind, name string, value any, current Version) (Version, error) {
	c.Calls.Writes.Add(1)
	b, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	return c.put(ctx, k, name, b, current)
}

func (c *Client) put(ctx context.Context, k Kind, name string, b []byte, current Version) (Version, error) {
	l, err := c.call(ctx, Op{Verb: PutVerb, Kind: k, Name: name, Value: b, Current: current}, c.timeout)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Expected = current
	}
	return l.first().Version, err
}

// Ensure makes an object of one owner hold a value, with one call if there is
// none yet or if it holds the value, and two if it holds another one.
func (c *Client) Ensure(ctx context.Context, k Kind, name string, value any) error {
	_, err := c.Put(ctx, k, name, value, 0)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current == 0 {
		return err
	}
	if b, encodeErr := json.Marshal(value); encodeErr == nil && bytes.Equal(b, conflict.Found) {
		return nil
	}
	_, err = c.Put(ctx, k, name, value, conflict.Current)
	return err
}

// Delete removes an object if its current version is the given one.
func (c *Client) Delete(ctx context.Context, k Kind, name string, current Version) error {
	c.Calls.Writes.Add(1)
	_, err := c.call(ctx, Op{Verb: DeleteVerb, Kind: k, Name: name, Current: current}, c.timeout)
	return err
}

// first returns the only object of an answer that is not a list.
func (l *List) first() Object {
	if len(l.Objects) == 0 {
		return Object{}
	}
	return l.Objects[0]
}

// maxAnswer bounds the answer to a list call: 4,500 objects of 500 octets and room.
const maxAnswer = 16 << 20

func (c *Client) call(ctx context.Context, o Op, timeout time.Duration) (List, error) {
	l, _, err := c.page(ctx, o, timeout)
	return l, err
}

func (c *Client) page(ctx context.Context, o Op, timeout time.Duration) (l List, more string, err error) {
	began := time.Now()
	defer func() { c.spend(o, began, len(l.Objects), err) }()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	e, err := c.wire.Encode(o)
	if err != nil {
		return List{}, "", errors.Trace(err)
	}
	req, err := http.NewRequestWithContext(ctx, e.Method, c.base+e.Target, bytes.NewReader(e.Body))
	if err != nil {
		return List{}, "", errors.Trace(err)
	}
	for key, v := range e.Header {
		req.Header[key] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return List{}, "", c.failed(errors.Annotatef(err, "platform call"))
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return List{}, "", c.failed(errors.Annotatef(err, "platform answer"))
	}
	l, more, err = c.wire.Decode(o, Answer{resp.StatusCode, resp.Header, b})
	var status *StatusError
	if errors.As(err, &status) {
		return List{}, "", c.failed(err)
	}
	c.report.note(c.Log, time.Now(), nil)
	return l, more, err
}
