package itest

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// twoServices returns a declaration of two services with default limits.
func twoServices() *decl.Declaration {
	return &decl.Declaration{
		Name:   "main",
		Places: []decl.Place{{Name: "recife", Region: "nordeste"}, {Name: "fortaleza", Region: "nordeste"}},
		Services: []decl.Service{
			{Name: "listas", Address: "127.0.0.1:24431", StreamPaths: []string{"/feeds/"}},
			{Name: "fichas", Address: "127.0.0.1:24432"},
		},
	}
}

// TestRequestServed guards the whole path of a request: one from a plain HTTP/3 client
// reaches an upstream of its service although its packets are spread over balancers.
func TestRequestServed(t *testing.T) {
	c := NewCluster(t, binary)
	c.Apply(twoServices())
	c.StartFabric(1)
	c.SetFabricTargets(c.StartBalancer("b1", "recife"), c.StartBalancer("b2", "fortaleza"), c.StartBalancer("b3", "recife"))
	agents := map[string]*Process{
		"listas": c.StartAgent("l1", "listas", "recife", time.Millisecond),
		"fichas": c.StartAgent("f1", "fichas", "fortaleza", time.Millisecond),
	}
	tr := &http3.Transport{TLSClientConfig: c.CallerTLS()}
	defer tr.Close()
	client := http.Client{Transport: tr, Timeout: time.Second}
	for service, f := range c.Fabrics {
		var body string
		c.Eventually(10*time.Second, "answer of "+service, func() bool {
			resp, err := client.Post("https://"+f.Addr().String()+"/echo", "text/plain", strings.NewReader("x"))
			if err != nil {
				return false
			}
			defer resp.Body.Close()
			b, err := io.ReadAll(resp.Body)
			body = string(b)
			return err == nil && resp.StatusCode == http.StatusOK
		})
		if want := service + " /echo x\n"; body != want {
			t.Errorf("answer of %s: want %q, have %q", service, want, body)
		}
		if n := agents[service].Stub.Counts(); n.Misrouted != 0 || n.Requests == 0 {
			t.Errorf("%s: want requests and none misrouted, have %+v", service, n)
		}
	}
}
