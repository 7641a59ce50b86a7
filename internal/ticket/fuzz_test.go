package ticket

import (
	"net/netip"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/ident"
)

// FuzzBegin checks that the issued ticket is the only text that runs a request.
func FuzzBegin(f *testing.F) {
	self := ident.EndpointID{Addr: netip.MustParseAddrPort("127.0.0.1:9"), Instance: 3}
	issuer := NewIssuer(self, []byte("key"))
	valid := issuer.Text(1)
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(issuer.Text(2))
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		s := NewStore(issuer, DefaultLimits())
		now := time.Unix(1, 0)
		if _, reason := s.Issue(now); reason != ReasonNone {
			t.Fatalf("no ticket: %s", reason)
		}
		d := s.Begin(now, text, Hash{})
		if d.Action == Run && d.Serial != 1 {
			t.Errorf("text %q runs serial %d, which was not issued", text, d.Serial)
		}
		if d.Action == NotRun {
			t.Errorf("text %q is reported as not run without a refusal", text)
		}
	})
}
