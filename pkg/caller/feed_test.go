package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/stub"
)

// readEvents reads the numbered events and fails if one is missing, duplicated
// or out of order.
func readEvents(t *testing.T, f *Feed, from, to int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	for n := from; n <= to; n++ {
		e, err := f.Next(ctx)
		if err != nil {
			t.Fatalf("event %d: %v, %+v", n, err, f.Stats())
		}
		if want := fmt.Sprint(n); e.ID != want {
			t.Fatalf("want event %s, have %s, %+v", want, e.ID, f.Stats())
		}
	}
}

// TestFeedMoves checks requirement R1 (docs/design.md) in the client: on GOAWAY
// the new flow opens before the old one closes, and each event is delivered once
// and in order. A feed that its upstream ends cleanly after GOAWAY continues too.
func TestFeedMoves(t *testing.T) {
	for _, stopsCleanly := range []bool{false, true} {
		t.Run(fmt.Sprintf("upstream ends its feeds %v", stopsCleanly), func(t *testing.T) {
			t.Parallel()
			stop := make(chan struct{})
			s := newServer(t, stoppableFeed(stop))
			c := newClient(t)
			f, err := c.Feed(t.Context(), "https://"+s.addr.String()+"/feeds/prices?everyMillis=1", nil)
			noError(t, err)
			defer f.Close()
			readEvents(t, f, 1, 50)
			for n := range 3 {
				old := s.replaceAgent(stub.New("listas", 0))
				down := make(chan error, 1)
				go func() { down <- old.Shutdown(withTimeout(t, 10*time.Second)) }()
				eventually(t, "GOAWAY", func() bool { return c.Stats().GoAways == uint64(n+1) })
				if stopsCleanly && n == 0 {
					close(stop)
				}
				readEvents(t, f, 51+n*300, 350+n*300)
				if err := <-down; err != nil {
					t.Errorf("the old agent did not end: %v", err)
				}
			}
			if n := f.Stats(); n.Moves != 3 || n.Breaks != 0 || n.Unresumed != 0 {
				t.Errorf("want 3 moves and no break, have %+v", n)
			}
			if n := c.Stats(); n.GoAways != 3 || n.BrokenFlows != 0 {
				t.Errorf("want 3 GOAWAY and no broken flow, have %+v", n)
			}
		})
	}
}

// stoppableFeed serves feeds and ends them cleanly when stop is closed.
func stoppableFeed(stop <-chan struct{}) http.Handler {
	u := stub.New("listas", 0)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		go func() {
			select {
			case <-stop:
				cancel()
			case <-ctx.Done():
			}
		}()
		u.ServeHTTP(w, r.WithContext(ctx))
	})
}

// TestFeedBreaks checks that a feed continues after unplanned ends of its flow,
// that each is counted, and that a clean end yields io.EOF.
func TestFeedBreaks(t *testing.T) {
	s := newServer(t, stub.New("listas", 0))
	c := newClient(t)
	f, err := c.Feed(t.Context(), "https://"+s.addr.String()+"/feeds/prices?everyMillis=1&count=450", nil)
	noError(t, err)
	defer f.Close()
	for n := range 3 {
		readEvents(t, f, 1+n*100, 100+n*100)
		s.conn(n).CloseWithError(0x102, "")
		eventually(t, "flow reopened", func() bool { return s.accepted() == n+2 })
	}
	readEvents(t, f, 301, 450)
	if _, err := f.Next(t.Context()); !errors.Is(err, io.EOF) {
		t.Errorf("end of feed: want EOF, have %v", err)
	}
	if n := f.Stats(); n.Breaks != 3 || n.Events != 450 || n.LongestGap == 0 {
		t.Errorf("want 3 breaks and 450 events, have %+v", n)
	}
	_, err = c.Feed(t.Context(), "https://"+s.addr.String()+"/sheet?size=-1", nil)
	var status *StatusError
	if !errors.As(err, &status) || status.Status != http.StatusBadRequest {
		t.Errorf("want a StatusError with 400, have %v", err)
	}
}

// TestEventReader checks the parsing of server-sent events.
func TestEventReader(t *testing.T) {
	for _, c := range []struct{ in, want string }{
		{"", ""},
		{"data: a\n\n", "/message/a "},
		{"id: 7\r\nevent: price\r\ndata:a\r\ndata:  b\r\n\r\n", "7/price/a| b "},
		{": comment\n\nid: 1\n\ndata\n\ndata: x\nretry: 5\n\n", "1/message/ 1/message/x "},
		{"id: 1\ndata: a\n\nid: 2\ndata: cut off", "1/message/a "},
		{"id: 1\nid: a\x00b\ndata: x\n\nevent: e\n\ndata: y\n\n", "1/message/x 1/message/y "},
	} {
		r := newEventReader(strings.NewReader(c.in), "")
		var have string
		for {
			e, err := r.next()
			if err != nil {
				break
			}
			have += fmt.Sprintf("%s/%s/%s ", e.ID, e.Type, strings.ReplaceAll(string(e.Data), "\n", "|"))
		}
		if have != c.want {
			t.Errorf("%q: want %q, have %q", c.in, c.want, have)
		}
	}
}
