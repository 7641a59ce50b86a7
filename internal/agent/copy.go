package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// feedBufferSize is the buffer that each open feed holds. Events are short;
	// with 16 KiB a feed took 131 kB in all.
	feedBufferSize = 2 << 10
	// bulkBufferSize is the buffer used while each read of an answer fills its
	// buffer.
	bulkBufferSize = 32 << 10
)

var (
	feedBuffers = sync.Pool{New: func() any { return new([feedBufferSize]byte) }}
	bulkBuffers = sync.Pool{New: func() any { return new([bulkBufferSize]byte) }}
)

// copyAndFlush copies an answer and flushes after each read.
func copyAndFlush(w http.ResponseWriter, r io.Reader) error {
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
		bulk = n >= feedBufferSize
	}
}

// copyPart copies the result of one read.
func copyPart(w io.Writer, r io.Reader, bulk bool) (int, error) {
	var b []byte
	if bulk {
		p := bulkBuffers.Get().(*[bulkBufferSize]byte)
		defer bulkBuffers.Put(p)
		b = p[:]
	} else {
		p := feedBuffers.Get().(*[feedBufferSize]byte)
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
