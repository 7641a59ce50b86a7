package caller

import (
	"io"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/quic-go/quic-go/quicvarint"
)

// Stream and frame types of RFC 9114, sections 6.2 and 7.2, and RFC 9204, section 4.2.
const (
	streamControl      = 0x00
	streamQPACKEncoder = 0x02
	streamQPACKDecoder = 0x03
	frameGoAway        = 0x07
	// streamReserved has the reserved form 0x1f*N+0x21. A server must ignore such
	// a stream, but acknowledges its packet.
	streamReserved = 0x21
)

// maxControlFrame is the largest frame that is skipped on the control stream, in
// bytes.
const maxControlFrame = 64 << 10

// acceptStreams reads the server's unidirectional streams. The HTTP/3 library
// does not report GOAWAY, so the control stream is read here. The settings on
// it concern only extensions that are not used.
func (f *flow) acceptStreams() {
	for {
		s, err := f.conn.AcceptUniStream(f.conn.Context())
		if err != nil {
			return
		}
		go f.readStream(s)
	}
}

func (f *flow) readStream(s *quic.ReceiveStream) {
	r := quicvarint.NewReader(s)
	kind, err := quicvarint.Read(r)
	if err != nil {
		return
	}
	switch kind {
	case streamControl:
		if err := f.readControl(r); err != nil && f.alive() {
			f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeClosedCriticalStream), "control stream ended")
		}
	case streamQPACKEncoder, streamQPACKDecoder:
		// The dynamic table is not used, so these streams can be ignored.
		io.Copy(io.Discard, r)
	default:
		s.CancelRead(quic.StreamErrorCode(http3.ErrCodeStreamCreationError))
	}
}

func (f *flow) readControl(r quicvarint.Reader) error {
	for {
		kind, err := quicvarint.Read(r)
		if err != nil {
			return err
		}
		size, err := quicvarint.Read(r)
		if err != nil {
			return err
		}
		if size > maxControlFrame {
			f.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), "frame on control stream too long")
			return nil
		}
		if _, err := io.CopyN(io.Discard, r, int64(size)); err != nil {
			return err
		}
		if kind == frameGoAway {
			f.handleGoAway()
		}
	}
}

// handleGoAway retires the flow because the server is about to close it. The
// server rejects each request that it no longer accepts, so the stream ID in the
// frame is not needed.
func (f *flow) handleGoAway() {
	f.goAwayOnce.Do(func() {
		f.client.stats.goAways.Add(1)
		close(f.goAway)
		f.retire()
	})
}

// ping makes the server send an acknowledgement. It has no effect while the
// server allows no further streams.
func (f *flow) ping() {
	s, err := f.conn.OpenUniStream()
	if err != nil {
		return
	}
	f.client.stats.pings.Add(1)
	s.Write(quicvarint.Append(nil, streamReserved))
	s.Close()
}
