package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// feedBuffer is held by each open feed, whose events are short: with 16 KiB
	// a feed took 131 kB in all.
	feedBuffer = 2 << 10
	// bulkBuffer is used while an answer fills the buffer with each read.
	bulkBuffer = 32 << 10
)

var (
	feedBuffers = sync.Pool{New: func() any { return new([feedBuffer]byte) }}
	bulkBuffers = sync.Pool{New: func() any { return new([bulkBuffer]byte) }}
)

// copyFlush copies an answer and passes on each part at once.
func copyFlush(w http.ResponseWriter, r io.Reader) error {
	c := http.NewResponseController(w)
	bulk := false
	for {
		n, err := copyPart(w, r, bulk)
		if n > 0 {
			c.Flush()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		bulk = n >= feedBuffer
	}
}

// copyPart copies what one read returns.
func copyPart(w io.Writer, r io.Reader, bulk bool) (int, error) {
	var b []byte
	if bulk {
		p := bulkBuffers.Get().(*[bulkBuffer]byte)
		defer bulkBuffers.Put(p)
		b = p[:]
	} else {
		p := feedBuffers.Get().(*[feedBuffer]byte)
		defer feedBuffers.Put(p)
		b = p[:]
	}
	n, err := r.Read(b)
	if n > 0 {
		if _, werr := w.Write(b[:n]); werr != nil {
			return n, werr
		}
	}
	return n, err
}
