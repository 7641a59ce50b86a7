package agent

import (
	"errors"
	"io"
	"net/http"
	"sync"
)

const (
	// feedBufferSize is the size in bytes of the buffer that each open feed
	// holds. Events are short. With a buffer of 16 KiB, one feed took 131 kB of
	// memory in all.
	feedBufferSize = 2 << 10
	// bulkBufferSize is the size in bytes of the buffer used for a read if the
	// read before returned at least feedBufferSize bytes.
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
