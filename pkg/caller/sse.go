package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strings"
)

const (
	// maxEventLine is the maximum length of one line of a feed, in bytes.
	maxEventLine = 1 << 20
	// maxEventData is the maximum size of the data of one event, in bytes.
	maxEventData = 4 << 20
)

// EventSizeError means that the data of a feed's event is too large.
type EventSizeError struct {
	// Limit is the limit in bytes.
	Limit int
}

// Error implements error.
func (e *EventSizeError) Error() string {
	return fmt.Sprintf("event of a feed has more than %d bytes of data", e.Limit)
}

// Event is one server-sent event.
type Event struct {
	// ID is the ID of the event, or of the last event before it that had one.
	ID string
	// Type is the event's type, "message" unless the server names another.
	Type string
	// Data holds the data lines, joined by line feeds.
	Data []byte
}

// eventReader parses the format of server-sent events (HTML standard, section
// "Server-sent events").
type eventReader struct {
	scanner *bufio.Scanner
	id      string
}

func newEventReader(r io.Reader, id string) *eventReader {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 4<<10), maxEventLine)
	return &eventReader{scanner: s, id: id}
}

// next returns the next event that has data. A last event without the empty line
// that ends it is not returned.
func (r *eventReader) next() (Event, error) {
	e := Event{Type: "message"}
	var data [][]byte
	size := 0
	for r.scanner.Scan() {
		line := r.scanner.Text()
		if line == "" && data != nil {
			e.ID = r.id
			e.Data = bytes.Join(data, []byte("\n"))
			return e, nil
		}
		if line == "" {
			e.Type = "message"
			continue
		}
		field, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch field {
		case "id":
			if !strings.ContainsRune(value, 0) {
				r.id = value
			}
		case "event":
			e.Type = value
		case "data":
			if size += len(value) + 1; size > maxEventData {
				return Event{}, &EventSizeError{maxEventData}
			}
			data = append(data, []byte(value))
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
