package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// body is a request body that can be sent more than once.
type body struct {
	bytes []byte
	get   func() (io.ReadCloser, error)
}

func (b *body) reader() (io.ReadCloser, error) {
	if b.get != nil {
		return b.get()
	}
	return io.NopCloser(bytes.NewReader(b.bytes)), nil
}

// takeBody takes over and closes the request's body. It returns nil without one.
func (c *Client) takeBody(req *http.Request) (*body, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, nil
	}
	defer req.Body.Close()
	if req.GetBody != nil {
		return &body{get: req.GetBody}, nil
	}
	limit := c.settings.bodyLimit
	b, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "reading the request body")
	}
	if int64(len(b)) > limit {
		return nil, &BodyLimitError{Limit: limit}
	}
	return &body{bytes: b}, nil
}

// answer is the body of an answer. Its Read returns io.EOF only when the body
// is complete.
type answer struct {
	exchange   *exchange
	from       io.ReadCloser
	read, want int64
	err        error
}

func (x *exchange) wrap(resp *http.Response) io.ReadCloser {
	a := &answer{exchange: x, from: resp.Body, want: resp.ContentLength}
	if x.call.req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		a.want = -1
	}
	return a
}

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	n, err := a.from.Read(p)
	a.read += int64(n)
	if err == nil {
		return n, nil
	}
	a.err = a.ended(err)
	a.exchange.end()
	a.exchange.flow.retireDead()
	return n, a.err
}

func (a *answer) ended(err error) error {
	switch {
	case errors.Is(err, io.EOF) && (a.want < 0 || a.read == a.want):
		return io.EOF
	case errors.Is(err, io.EOF):
		err = nil
	}
	return &TruncatedError{Service: a.exchange.call.host, Read: a.read, Want: a.want, Err: err}
}

// Close gives up the rest of the body.
func (a *answer) Close() error {
	if a.err == nil {
		a.err = errors.New("read after close of the answer's body")
		a.exchange.cancel()
	}
	a.exchange.end()
	return nil
}
