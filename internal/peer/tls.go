package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/proc"
)

// Secure holds the settings of mutual TLS between our processes. The authority
// signs only their certificates, so a valid chain is what admits a process;
// addresses change with every replaced VM and are not checked. A nil Secure
// means plain TCP.
type Secure struct {
	cert *proc.Followed[*tls.Certificate]
	pool *proc.Followed[*x509.CertPool]
}

// LoadTLS reads the files of mutual TLS and follows their changes: new sessions
// use the new content.
func LoadTLS(certFile, keyFile, caFile string, log *logrus.Entry) (*Secure, error) {
	cert, err := proc.FollowCertificate(log, certFile, keyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	pool, err := proc.Follow(log, func() (*x509.CertPool, error) { return readPool(caFile) }, caFile)
	if err != nil {
		return nil, errors.Annotatef(err, "caFile")
	}
	return &Secure{cert, pool}, nil
}

func readPool(caFile string) (*x509.CertPool, error) {
	b, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("%s holds no certificate", caFile)
	}
	return pool, nil
}

// client wraps a connection that this side dialed.
func (s *Secure) client(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s == nil {
		return c, nil
	}
	return handshake(ctx, tls.Client(c, s.config()))
}

// server wraps a connection that this side accepted.
func (s *Secure) server(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s == nil {
		return c, nil
	}
	return handshake(ctx, tls.Server(c, s.config()))
}

// handshake completes the handshake, so that its error is not lost in the
// session above.
func handshake(ctx context.Context, c *tls.Conn) (net.Conn, error) {
	if err := c.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (s *Secure) config() *tls.Config {
	pool := s.pool.Get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.cert.Get()},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The default check needs a host name; verifyChain replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer showed no certificate")
	}
	rest := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		rest.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: rest, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
