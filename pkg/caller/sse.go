package caller

import (
	"bufio"
	"bytes"
	"io"
	"strings"
)

// maxEventLine bounds one line of a feed.
const maxEventLine = 1 << 20

// Event is one server-sent event.
type Event struct {
	// ID is the id of the event, or of the last one before it that had an id.
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

// next returns the next event that has data. An event that was begun but not
// ended by an empty line is not returned.
func (r *eventReader) next() (Event, error) {
	e := Event{Type: "message"}
	var data [][]byte
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
			data = append(data, []byte(value))
		}
	}
	if err := r.scanner.Err(); err != nil {
		return Event{}, err
	}
	return Event{}, io.EOF
}
