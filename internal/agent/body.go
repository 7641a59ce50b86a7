package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// readAhead is how much of a body of unknown length is read before admission,
// so that a short one is checked before the upstream is called.
const readAhead = 64 << 10

// bodySizeError reports a request body above the limit.
type bodySizeError struct{ limit int64 }

// Error implements error.
func (e *bodySizeError) Error() string {
	return fmt.Sprintf("request body is longer than %d octets", e.limit)
}

// limitedBody fails with a bodySizeError after limit octets.
type limitedBody struct {
	r    io.Reader
	left int64
	size int64
}

func limitBody(r io.Reader, limit int64) *limitedBody {
	return &limitedBody{r: r, left: limit, size: limit}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.left+1 {
		p = p[:b.left+1]
	}
	n, err := b.r.Read(p)
	if int64(n) > b.left {
		return int(b.left), &bodySizeError{b.size}
	}
	b.left -= int64(n)
	return n, err
}

// requestBody returns the body to send and its length, -1 if it is not known.
// It reads the whole body if whole is set, and otherwise at most readAhead
// octets of a body of unknown length.
func requestBody(r *http.Request, limit int64, whole bool) (io.Reader, int64, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return http.NoBody, 0, nil
	}
	if r.ContentLength > limit {
		return nil, 0, &bodySizeError{limit}
	}
	body := limitBody(r.Body, limit)
	if r.ContentLength > 0 && !whole {
		return body, r.ContentLength, nil
	}
	ahead := int64(readAhead)
	if whole {
		ahead = limit + 1
	}
	b, err := io.ReadAll(io.LimitReader(body, ahead))
	if err != nil {
		return nil, 0, err
	}
	if int64(len(b)) == ahead {
		return io.MultiReader(bytes.NewReader(b), body), -1, nil
	}
	if r.ContentLength > 0 && int64(len(b)) != r.ContentLength {
		return nil, 0, io.ErrUnexpectedEOF
	}
	return bytes.NewReader(b), int64(len(b)), nil
}
