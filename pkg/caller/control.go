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
	// streamReserved is of the reserved form 0x1f*N+0x21, which a server must
	// ignore. A stream of this type makes the server acknowledge a packet.
	streamReserved = 0x21
)

// maxControlFrame bounds the frames that are skipped on the control stream.
const maxControlFrame = 64 << 10

// acceptStreams reads the server's unidirectional streams. The HTTP/3 library
// does not tell when the server sends GOAWAY, so the control stream is read
// here. The settings in it matter only to extensions that are not used.
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
		// The dynamic table is not used, so these carry nothing of interest.
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
			f.leave()
		}
	}
}

// leave takes the flow out of service because the server is about to end it.
// Requests that the server does not accept any more are rejected one by one,
// so the stream id in the frame is not needed.
func (f *flow) leave() {
	f.leaveOnce.Do(func() {
		f.client.stats.goAways.Add(1)
		close(f.leaving)
		f.retire()
	})
}

// ping makes the server send a packet. It has no effect when the server allows
// no further stream at the moment.
func (f *flow) ping() {
	s, err := f.conn.OpenUniStream()
	if err != nil {
		return
	}
	f.client.stats.pings.Add(1)
	s.Write(quicvarint.Append(nil, streamReserved))
	s.Close()
}
