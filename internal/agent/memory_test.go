package agent

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"testing"

	"github.com/quic-go/quic-go/http3"

	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

const (
	// callerVariable makes the test binary run the upstream and the callers.
	callerVariable = "AGENT_TEST_CALLERS"
	memoryFlows    = 500
	// maxFlowBytes lets 2,000 flows fit in 256 MB.
	maxFlowBytes = 256_000_000 / 2000
)

func TestMain(m *testing.M) {
	if path := os.Getenv(callerVariable); path != "" {
		runCallers(path)
		return
	}
	os.Exit(m.Run())
}

// runCallers runs the upstream, reads the URL of the service from standard
// input, and holds one flow per caller until standard input ends.
func runCallers(path string) {
	u := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "x")
		if r.URL.Path == "/feeds/" {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}
	}))
	fmt.Println(u.URL)
	in := bufio.NewReader(os.Stdin)
	base, _ := in.ReadString('\n')
	var wait sync.WaitGroup
	slots := make(chan struct{}, 20)
	for range memoryFlows {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			tr := &http3.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}
			resp, err := (&http.Client{Transport: tr}).Get(strings.TrimSpace(base) + path)
			if err == nil && path == "/" {
				_, err = io.Copy(io.Discard, resp.Body)
			}
			if err != nil {
				fmt.Println("error:", err)
			}
		})
	}
	wait.Wait()
	fmt.Println("open")
	io.Copy(io.Discard, in)
}

// TestFlowMemory bounds the memory of an agent per flow, with idle flows and
// with one open feed per flow. The callers and the upstream run in another
// process.
func TestFlowMemory(t *testing.T) {
	for _, path := range []string{"/", "/feeds/"} {
		b := newTestBalancer(t)
		ctx, stop := context.WithCancel(t.Context())
		c := exec.CommandContext(ctx, os.Args[0])
		c.Env = append(os.Environ(), callerVariable+"="+path)
		in, err := c.StdinPipe()
		must(t, err)
		out, err := c.StdoutPipe()
		must(t, err)
		must(t, c.Start())
		lines := bufio.NewScanner(out)
		lines.Scan()
		a := b.startAgent("127.0.0.1:0", lines.Text(), decl.Service{StreamPaths: []string{"/feeds/"}, Limits: decl.Limits{Queue: 1000}})
		before := heap()
		fmt.Fprintf(in, "https://%s\n", addrOf(b.callerConn))
		if lines.Scan(); lines.Text() != "open" {
			t.Fatalf("%s: want open flows, have %q", path, lines.Text())
		}
		eventually(t, "requests ended", func() bool { return a.admission.stats().Running == 0 })
		have := (heap() - before) / memoryFlows
		t.Logf("%s: %d bytes per flow, %d flows", path, have, a.admission.stats().Connections)
		// A repeated Initial packet can open a flow that its caller never uses.
		if n := a.admission.stats().Connections; n < memoryFlows || have > maxFlowBytes {
			t.Errorf("%s: want at least %d flows of at most %d bytes, have %d of %d", path, memoryFlows, maxFlowBytes, n, have)
		}
		stop()
		c.Wait()
	}
}

// heap returns the bytes in use by live objects and stacks.
func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}
