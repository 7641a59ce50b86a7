package itest

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/relay"
	"github.com/bramleycourse/bramleycourse/internal/stub"
)

// TestPathMTU guards clients with path MTU discovery against the packet size limit of
// the hop. Probes above the limit are dropped; downloads and uploads are still complete
// and lose hardly any packets.
func TestPathMTU(t *testing.T) {
	s := NewDeployment(NewCluster(t, binary), Declaration(4, "listas"), 1, map[string]int{"listas": 1})
	tr := s.plainTransport()
	defer tr.Close()
	client := http.Client{Transport: tr, Timeout: 20 * time.Second}
	for range 2 {
		resp, err := client.Get(s.URL("listas", "/sheet?size=5000000"))
		s.must(err)
		sum := sha256.New()
		n, err := io.Copy(sum, resp.Body)
		resp.Body.Close()
		if want := resp.Header.Get(stub.HashHeader); err != nil || hex.EncodeToString(sum.Sum(nil)) != want {
			t.Errorf("download: want 5000000 bytes with hash %s, have %d, %v", want, n, err)
		}
		body := bytes.Repeat([]byte("x"), 1_000_000)
		resp, err = client.Post(s.URL("listas", "/echo"), "text/plain", bytes.NewReader(body))
		s.must(err)
		have, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if want := "listas /echo " + string(body) + "\n"; err != nil || string(have) != want {
			t.Errorf("upload: want an answer of %d bytes, have %d, %v", len(want), len(have), err)
		}
	}
	var st relay.State
	s.must(s.Balancers[0].State(&st))
	long, passed := st.Counts["tooLong"], st.Counts["established"]
	t.Logf("%d packets too long, %d forwarded", long, passed)
	if long == 0 || long > 20 {
		t.Errorf("want 1 to 20 packets too long, have %d", long)
	}
}
