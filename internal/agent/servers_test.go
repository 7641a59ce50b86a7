package agent

import (
	"net/http"
	"reflect"
	"testing"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestDrainAfterKeyChange guards against a drain that skips the flows of an
// earlier key. While these wait for their move, SIGTERM must send them GOAWAY
// as well and let their requests end.
func TestDrainAfterKeyChange(t *testing.T) {
	b := newTestBalancer(t)
	u, url := newTestUpstream(t)
	s := b.startSignalledAgent(url)
	other := b.startAgent("127.0.0.1:0", url, decl.Service{})
	base := "https://" + addrOf(b.callerConn).String()
	results := make(chan result, 2)
	var callers []*testServer
	for n, key := range []uint8{1, 2} {
		if n > 0 && s.servers.replace(key) == nil {
			t.Fatal("want a retired server, have none")
		}
		ts := &testServer{t: t, client: b.client(), base: base}
		callers = append(callers, ts)
		go func() { results <- ts.do(t.Context(), "GET", "/feeds/hold", nil) }()
		eventually(t, "feed open", func() bool { return u.calls.Load() == int64(n+1) })
	}
	if want, have := map[uint8]int{1: 1, 2: 1}, s.State().ConnectionsByKey; !reflect.DeepEqual(have, want) {
		t.Errorf("connections by key: want %v, have %v", want, have)
	}
	s.signal()
	eventually(t, "drain begun", func() bool { return len(s.states()) == 1 })
	for n, ts := range callers {
		before := other.handler.requests.Load()
		eventually(t, "next request at the other agent", func() bool {
			r := ts.do(t.Context(), "GET", "/", nil)
			return r.status == http.StatusOK && other.handler.requests.Load() > before
		})
		if s.servers.replace(uint8(n+3)) != nil {
			t.Error("want no new server during the drain")
		}
	}
	close(u.release)
	for range callers {
		if r := <-results; r.err != nil || r.status != http.StatusOK {
			t.Errorf("feed: want its complete answer, have %+v", r)
		}
	}
	eventually(t, "agent ended", func() bool {
		select {
		case <-s.ended:
			return true
		default:
			return false
		}
	})
	if n := s.servers.openByKey()[1]; n != 0 {
		t.Errorf("connections of key 1 after the end: want 0, have %d", n)
	}
}
