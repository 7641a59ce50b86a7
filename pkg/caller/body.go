package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/juju/errors"
)

// requestBody is a request body that can be sent more than once.
type requestBody struct {
	bytes []byte
	get   func() (io.ReadCloser, error)
}

func (b *requestBody) reader() (io.ReadCloser, error) {
	if b.get != nil {
		return b.get()
	}
	return io.NopCloser(bytes.NewReader(b.bytes)), nil
}

// newRequestBody takes over and closes the request's body. It returns nil if
// there is none.
func (c *Client) newRequestBody(req *http.Request) (*requestBody, error) {
	if req.Body == nil || req.Body == http.NoBody {
		return nil, nil
	}
	defer req.Body.Close()
	if req.GetBody != nil {
		return &requestBody{get: req.GetBody}, nil
	}
	limit := c.settings.bodyLimit
	b, err := io.ReadAll(io.LimitReader(req.Body, limit+1))
	if err != nil {
		return nil, errors.Annotate(err, "reading the request body")
	}
	if int64(len(b)) > limit {
		return nil, &BodyLimitError{Limit: limit}
	}
	return &requestBody{bytes: b}, nil
}

// responseBody is the body of a response. Its Read returns io.EOF only when the
// body is complete.
type responseBody struct {
	exchange           *exchange
	body               io.ReadCloser
	received, expected int64
	err                error
}

func (x *exchange) wrapBody(resp *http.Response) io.ReadCloser {
	b := &responseBody{exchange: x, body: resp.Body, expected: resp.ContentLength}
	if x.call.req.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		b.expected = -1
	}
	return b
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	b.received += int64(n)
	if err == nil {
		return n, nil
	}
	b.err = b.endError(err)
	b.exchange.end()
	b.exchange.flow.retireIfClosed()
	return n, b.err
}

func (b *responseBody) endError(err error) error {
	switch {
	case errors.Is(err, io.EOF) && (b.expected < 0 || b.received == b.expected):
		return io.EOF
	case errors.Is(err, io.EOF):
		err = nil
	}
	return &TruncatedError{Service: b.exchange.call.host, Read: b.received, Want: b.expected, Err: err}
}

// Close discards the rest of the body.
func (b *responseBody) Close() error {
	if b.err == nil {
		b.err = errors.New("read after close of the response body")
		b.exchange.cancel()
	}
	b.exchange.end()
	return nil
}
