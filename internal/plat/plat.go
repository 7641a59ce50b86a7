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
	"net/url"
	"strconv"
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
}

// Client calls the object API.
type Client struct {
	// Calls counts every call, including failed ones.
	Calls Calls
	// Log, when set before the first call, tells when calls fail and recover.
	Log *logrus.Entry

	report  report
	base    string
	timeout time.Duration
	http    *http.Client
}

// New returns a client of the API at the base URL.
func New(base string, timeout time.Duration) *Client {
	return &Client{base: base, timeout: timeout, http: &http.Client{}}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, k Kind, name string) (Object, error) {
	c.Calls.Reads.Add(1)
	var o Object
	err := c.call(ctx, http.MethodGet, c.path(k, name), nil, nil, &o, c.timeout, k, name)
	return o, err
}

// List reads all objects of a kind.
func (c *Client) List(ctx context.Context, k Kind) (List, error) {
	c.Calls.Reads.Add(1)
	var l List
	err := c.call(ctx, http.MethodGet, c.path(k, ""), nil, nil, &l, c.timeout, k, "")
	return l, err
}

// Watch waits up to the given time for changes after a version.
func (c *Client) Watch(ctx context.Context, k Kind, since Version, wait time.Duration) (List, error) {
	c.Calls.Watches.Add(1)
	var l List
	path := fmt.Sprintf("%s?watch=1&since=%d&waitMillis=%d", c.path(k, ""), since, wait.Milliseconds())
	err := c.call(ctx, http.MethodGet, path, nil, nil, &l, wait+c.timeout, k, "")
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
	var o Object
	err := c.call(ctx, http.MethodPut, c.path(k, name), condition(current), b, &o, c.timeout, k, name)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		conflict.Expected = current
	}
	return o.Version, err
}

// Delete removes an object if its current version is the given one.
func (c *Client) Delete(ctx context.Context, k Kind, name string, current Version) error {
	c.Calls.Writes.Add(1)
	return c.call(ctx, http.MethodDelete, c.path(k, name), condition(current), nil, nil, c.timeout, k, name)
}

func (c *Client) path(k Kind, name string) string {
	p := c.base + "/v1/objects/" + string(k)
	if name != "" {
		p += "/" + url.PathEscape(name)
	}
	return p
}

func condition(v Version) http.Header {
	h := http.Header{}
	if v == 0 {
		h.Set("If-None-Match", "*")
	} else {
		h.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
	}
	return h
}

// maxAnswer bounds the answer to a list call: 4,500 objects of 500 octets and room.
const maxAnswer = 16 << 20

func (c *Client) call(ctx context.Context, method, address string, h http.Header, body []byte, out any, timeout time.Duration, k Kind, name string) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	for key, v := range h {
		req.Header[key] = v
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return c.failed(errors.Annotatef(err, "platform call"))
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return c.failed(errors.Annotatef(err, "platform answer"))
	}
	err = c.result(resp, b, out, k, name)
	var status *StatusError
	if !errors.As(err, &status) {
		c.report.note(c.Log, time.Now(), nil)
	}
	return err
}

func (c *Client) result(resp *http.Response, b []byte, out any, k Kind, name string) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
		if l, ok := out.(*List); ok {
			return parseList(b, l)
		}
		return errors.Trace(json.Unmarshal(b, out))
	case http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return &NotFoundError{k, name}
	case http.StatusGone:
		return &GoneError{}
	case http.StatusPreconditionFailed:
		v, _ := strconv.Unquote(resp.Header.Get("ETag"))
		n, _ := strconv.ParseUint(v, 10, 64)
		return &ConflictError{Kind: k, Name: name, Current: Version(n)}
	}
	return c.failed(&StatusError{resp.StatusCode, k, name})
}

// parseList decodes the answer to a list or watch call. It refuses objects
// that could not be told apart or ordered.
func parseList(b []byte, l *List) error {
	if err := json.Unmarshal(b, l); err != nil {
		*l = List{}
		return errors.Trace(err)
	}
	for _, o := range l.Objects {
		if o.Name == "" || o.Version == 0 || o.Version > l.Version {
			*l = List{}
			return errors.Errorf("platform answered with object %q of version %d in a list of version %d", o.Name, o.Version, l.Version)
		}
	}
	return nil
}
