// Package plat is an HTTP client for the platform's object API, which offers
// versioned objects, conditional writes and watches.
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

	"github.com/bramleycourse/bramleycourse/internal/field"
)

// Kind is the kind of an object, which is part of its path.
type Kind string

// Kinds of objects that balancers and agents store on the platform.
const (
	KindConfig   Kind = "config"
	KindEndpoint Kind = "endpoint"
	KindBalancer Kind = "balancer"
	// KindEvacuation is the kind of the objects with which operators evacuate places. An
	// object is named after its place.
	KindEvacuation Kind = "evacuation"
)

// Version is the version of an object or of the whole store; each write to the
// store increases it.
type Version uint64

// Object is a versioned JSON value stored on the platform.
type Object struct {
	Name    string  `json:"name"`
	Version Version `json:"version"`
	// Era is the era of Version.
	Era   Era             `json:"-"`
	Value json.RawMessage `json:"value,omitempty"`
	// Deleted marks the removal of an object in a watch result.
	Deleted bool `json:"deleted,omitempty"`
	// Deleting marks an object that is to be removed once others have finished with it.
	Deleting bool `json:"deleting,omitempty"`
}

// List is the result of a list or watch call.
type List struct {
	// Version is the store's version up to which Objects is complete.
	Version Version `json:"version"`
	// Era is the era of Version.
	Era     Era      `json:"-"`
	Objects []Object `json:"objects"`
}

// ConflictError reports that a conditional write found another version.
type ConflictError struct {
	Kind Kind
	Name string
	// Current is the version that the store held when it refused the write; zero
	// when the object does not exist.
	Current Version
	// Era is the era of Current.
	Era Era
	// Found is the value of that version, if the response contained it.
	Found json.RawMessage
	// Expected is the version that a put was conditional on; zero if the object
	// was expected not to exist. It is not set when a delete conflicts.
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

// StatusError reports a response with a status that has no error type of its own.
type StatusError struct {
	Code int
	Kind Kind
	Name string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform responded with status %d for %s object %q", e.Code, e.Kind, e.Name)
}

// GoneError reports that the platform no longer keeps the changes since a version.
type GoneError struct{ Since Version }

// Error implements error.
func (e *GoneError) Error() string {
	return fmt.Sprintf("changes since version %d are no longer kept", e.Since)
}

// Calls counts calls to the platform by kind of call.
type Calls struct {
	Reads, Writes, Watches, Failures atomic.Uint64
	// OverBudget counts calls that exceeded the process's call budget.
	OverBudget atomic.Uint64
}

// Verb is the operation that a call performs.
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

// Op is an operation of the object API, independent of its encoding.
type Op struct {
	Verb Verb
	Kind Kind
	// Name is empty for ListVerb and WatchVerb.
	Name string
	// Current is the version that the caller expects in the store; a write takes
	// effect only if the store holds it. Zero means that the object must not exist.
	Current Version
	// Since and Wait are set for WatchVerb: the version to report changes after,
	// and the longest time to wait for one.
	Since Version
	Wait  time.Duration
	// Era is the era of Current, Since or After if InEra is set. The call is then not
	// sent in another era, and an answer of another era does not count.
	Era   Era
	InEra bool
	// After is the name after which the next page of a list starts.
	After string
	// Value is the value to write.
	Value []byte
}

// Call is an operation encoded as an HTTP request.
type Call struct {
	Method string
	// Target is the path and query, relative to the base URL.
	Target string
	Header http.Header
	Body   []byte
}

// Answer is the HTTP response to a call.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Wire encodes and decodes the HTTP format of a platform's object API.
type Wire struct {
	// Encode returns the request for an operation.
	Encode func(Op) (Call, error)
	// Decode returns the content of a response, or one of the errors of this
	// package. more is the name after which the next page of a list starts; it is
	// empty on the last page.
	Decode func(op Op, a Answer) (l List, more string, err error)
	// Era returns the era that the header of a response names; 0 if it names none. It is
	// nil for a platform without eras.
	Era func(http.Header) Era
}

// Client calls the object API. It is safe for concurrent use.
type Client struct {
	// Calls counts every call, including failed ones.
	Calls Calls
	// Refused counts the objects that users of the client could not use.
	Refused field.Refusals
	// Log receives lines when calls begin to fail, when they succeed again and when
	// they exceed the call budget. It may be nil and is set before the first call.
	Log *logrus.Entry

	outage  outageLog
	eras    eras
	meter   callMeter
	base    string
	timeout time.Duration
	http    *http.Client
	wire    Wire
}

// Option configures a client.
type Option func(*Client)

// WithWire replaces the default HTTP format.
func WithWire(w Wire) Option { return func(c *Client) { c.wire = w } }

// WithTransport sets the HTTP transport.
func WithTransport(t http.RoundTripper) Option { return func(c *Client) { c.http.Transport = t } }

// New returns a client for the API at the base URL. The timeout bounds each call;
// a watch call may take its wait time longer.
func New(base string, timeout time.Duration, options ...Option) *Client {
	c := &Client{base: base, timeout: timeout, http: &http.Client{}, wire: defaultWire}
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

// List reads all objects of a kind, page by page.
func (c *Client) List(ctx context.Context, k Kind) (List, error) {
	var all List
	for o := (Op{Verb: ListVerb, Kind: k}); ; {
		c.Calls.Reads.Add(1)
		l, more, err := c.page(ctx, o, c.timeout)
		if err != nil {
			return List{}, err
		}
		// Watches start at the version of the first page, so that they also report
		// changes made while the later pages were read.
		if o.After == "" {
			all.Version, all.Era = l.Version, l.Era
			o.Era, o.InEra = l.Era, true
		}
		all.Objects = append(all.Objects, l.Objects...)
		if more == "" {
			return all, nil
		}
		o.After = more
	}
}

// Watch waits up to the given time for changes after a version and returns them.
// It returns a *GoneError if the platform no longer keeps them all.
func (c *Client) Watch(ctx context.Context, k Kind, since Version, wait time.Duration, options ...CallOption) (List, error) {
	c.Calls.Watches.Add(1)
	l, err := c.call(ctx, newOp(Op{Verb: WatchVerb, Kind: k, Since: since, Wait: wait}, options), wait+c.timeout)
	var gone *GoneError
	if errors.As(err, &gone) {
		gone.Since = since
	}
	return l, err
}

// Put writes an object if its current version is the given one; zero means
// that the object must not exist. It returns the new version.
func (c *Client) Put(ctx context.Context, k Kind, name string, value any, current Version) (Version, error) {
	c.Calls.Writes.Add(1)
	b, err := json.Marshal(value)
	if err != nil {
		return 0, errors.Trace(err)
	}
	o, err := c.put(ctx, Op{Verb: PutVerb, Kind: k, Name: name, Value: b, Current: current})
	return o.Version, err
}

// put writes an encoded value and does not count the call.
func (c *Client) put(ctx context.Context, o Op) (Object, error) {
	l, err := c.call(ctx, o, c.timeout)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Expected = o.Current
	}
	return l.first(), err
}

// Ensure makes an object that has a single owner hold a value, and returns it with its
// version. It takes one call if the object does not exist, or if the conflict returns the wanted
// value, and two calls otherwise.
func (c *Client) Ensure(ctx context.Context, k Kind, name string, value any) (Object, error) {
	c.Calls.Writes.Add(1)
	b, err := json.Marshal(value)
	if err != nil {
		return Object{}, errors.Trace(err)
	}
	o, err := c.put(ctx, Op{Verb: PutVerb, Kind: k, Name: name, Value: b})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Current == 0 {
		return o, err
	}
	if bytes.Equal(b, conflict.Found) {
		return Object{Name: name, Version: conflict.Current, Era: conflict.Era, Value: b}, nil
	}
	c.Calls.Writes.Add(1)
	return c.put(ctx, Op{Verb: PutVerb, Kind: k, Name: name, Value: b, Current: conflict.Current, Era: conflict.Era, InEra: true})
}

// Delete removes an object if its current version is the given one.
func (c *Client) Delete(ctx context.Context, k Kind, name string, current Version, options ...CallOption) error {
	c.Calls.Writes.Add(1)
	_, err := c.call(ctx, newOp(Op{Verb: DeleteVerb, Kind: k, Name: name, Current: current}, options), c.timeout)
	return err
}

// first returns the object in the result of a call for a single object, or an
// empty one if the call failed.
func (l *List) first() Object {
	if len(l.Objects) == 0 {
		return Object{}
	}
	return l.Objects[0]
}

// maxResponseBytes bounds the body of a response. A list of 4,500 objects of 500
// bytes each fits several times.
const maxResponseBytes = 16 << 20

func (c *Client) call(ctx context.Context, o Op, timeout time.Duration) (List, error) {
	l, _, err := c.page(ctx, o, timeout)
	return l, err
}

// page sends one request and returns its page of the result.
func (c *Client) page(ctx context.Context, o Op, timeout time.Duration) (l List, more string, err error) {
	known := c.Era()
	if err := o.checkEra(known); err != nil {
		return List{}, "", err
	}
	began := time.Now()
	defer func() { c.recordCall(o, began, len(l.Objects), err) }()
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
	era := c.answerEra(resp.Header, known)
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return List{}, "", c.failed(errors.Annotatef(err, "platform response"))
	}
	l, more, err = c.wire.Decode(o, Answer{resp.StatusCode, resp.Header, limitDepth(b)})
	var status *StatusError
	if errors.As(err, &status) {
		return List{}, "", c.failed(err)
	}
	c.outage.record(c.Log, time.Now(), nil)
	if stale := c.checkAnswer(o, era); stale != nil {
		return List{}, "", stale
	}
	l.setEra(era, err)
	return l, more, err
}
