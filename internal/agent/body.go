package agent

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
)

// maxReadAhead is the number of bytes of a body of unknown length that are read
// before admission, so that the length of a short body is checked before the
// upstream is called.
const maxReadAhead = 64 << 10

// bodySizeError reports a request body longer than the limit.
type bodySizeError struct{ limit int64 }

// Error implements error.
func (e *bodySizeError) Error() string {
	return fmt.Sprintf("request body exceeds %d bytes", e.limit)
}

// limitedBody returns a bodySizeError after limit bytes.
type limitedBody struct {
	r         io.Reader
	remaining int64
	limit     int64
}

func newLimitedBody(r io.Reader, limit int64) *limitedBody {
	return &limitedBody{r: r, remaining: limit, limit: limit}
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	if int64(len(p)) > b.remaining+1 {
		p = p[:b.remaining+1]
	}
	n, err := b.r.Read(p)
	if int64(n) > b.remaining {
		return int(b.remaining), &bodySizeError{b.limit}
	}
	b.remaining -= int64(n)
	return n, err
}

// requestBody returns the body to send and its length, or -1 if the length is
// unknown. With readAll it reads the whole body; otherwise it reads at most
// maxReadAhead bytes of a body of unknown length.
func requestBody(r *http.Request, limit int64, readAll bool) (io.Reader, int64, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return http.NoBody, 0, nil
	}
	if r.ContentLength > limit {
		return nil, 0, &bodySizeError{limit}
	}
	body := newLimitedBody(r.Body, limit)
	if r.ContentLength > 0 && !readAll {
		return body, r.ContentLength, nil
	}
	ahead := int64(maxReadAhead)
	if readAll {
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
