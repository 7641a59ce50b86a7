package agent

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bramleycourse/bramleycourse/internal/certs"
	"github.com/bramleycourse/bramleycourse/internal/hdrs"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

func discardLog() *logrus.Entry {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return logrus.NewEntry(l)
}

// serverTLS returns the TLS configurations of a server and of its callers.
func serverTLS(t testing.TB) (server, caller *tls.Config) {
	t.Helper()
	ca, err := certs.NewAuthority(time.Hour)
	must(t, err)
	certFile, keyFile, err := ca.IssueFiles(t.TempDir(), "service")
	must(t, err)
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	must(t, err)
	server = http3.ConfigureTLSConfig(&tls.Config{Certificates: []tls.Certificate{cert}})
	return server, &tls.Config{RootCAs: ca.Pool(), ServerName: "localhost"}
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// testServer serves a handler over HTTP/3 on a local socket.
type testServer struct {
	t       *testing.T
	handler *handler
	client  *http.Client
	base    string
}

func newTestServer(t *testing.T, upstreamURL string, s decl.Service) *testServer {
	h := &handler{
		admission: newAdmission(admissionLimits(s.Limits.WithDefaults()), 0),
		tickets:   newTicketStore(ident.EndpointID{Addr: netip.MustParseAddrPort("127.0.0.1:1"), Instance: 1}),
		refusals:  newRefusalCounter(discardLog(), tally.NoopScope),
		upstream:  newUpstream(upstreamURL, func(error) {}),
		onRequest: func(context.Context) {},
	}
	h.configure(s)
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	must(t, err)
	serverConfig, callerConfig := serverTLS(t)
	srv := &http3.Server{Handler: h, TLSConfig: serverConfig, MaxHeaderBytes: maxHeaderBytes}
	go srv.Serve(conn)
	tr := &http3.Transport{TLSClientConfig: callerConfig, QUICConfig: &quic.Config{}}
	t.Cleanup(func() {
		tr.Close()
		srv.Close()
		conn.Close()
	})
	return &testServer{t: t, handler: h, client: &http.Client{Transport: tr}, base: "https://" + conn.LocalAddr().String()}
}

// result is an answer as the caller sees it.
type result struct {
	status          int
	outcome, reason string
	body            string
	err             error
}

// do sends a request. The header is a list of alternating names and values.
func (ts *testServer) do(ctx context.Context, method, path string, body io.Reader, header ...string) result {
	req, err := http.NewRequestWithContext(ctx, method, ts.base+path, body)
	if err != nil {
		return result{err: err}
	}
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := ts.client.Do(req)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header.Get(hdrs.Outcome), resp.Header.Get(hdrs.Reason), string(b), err}
}

func (ts *testServer) ticket() string {
	ts.t.Helper()
	r := ts.do(ts.t.Context(), http.MethodPost, hdrs.TicketPath, nil)
	var a ticketAnswer
	if r.err != nil || r.status != http.StatusCreated || json.Unmarshal([]byte(r.body), &a) != nil {
		ts.t.Fatalf("want a ticket, have %+v", r)
	}
	return a.Ticket
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within 10 s: %s", what)
}
