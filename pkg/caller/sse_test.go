package caller

import (
	"bytes"
	"strings"
	"testing"
)

// FuzzEvents checks that the event reader ends on any input and returns no ID
// with a zero byte and no event above the size limit.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\ndata: b\n\n"))
	f.Add([]byte(": comment\n\nevent: x\r\ndata\n\nid: \x00\ndata: c\n\n"))
	f.Add([]byte("data: unfinished"))
	f.Fuzz(func(t *testing.T, b []byte) {
		r := newEventReader(bytes.NewReader(b), "")
		for range len(b) + 1 {
			e, err := r.next()
			if err != nil {
				return
			}
			if strings.ContainsRune(e.ID, 0) || len(e.Data) > maxEventData {
				t.Errorf("event %+v", e)
			}
		}
		t.Error("more events than bytes")
	})
}

// TestEventBound checks that an event with too many lines is an error.
func TestEventBound(t *testing.T) {
	line := "data: " + strings.Repeat("x", maxEventLine/2) + "\n"
	r := newEventReader(strings.NewReader(strings.Repeat(line, 2*maxEventData/len(line)+2)+"\n"), "")
	if _, err := r.next(); err == nil {
		t.Error("want an error for an event above the size limit")
	}
}
