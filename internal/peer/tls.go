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

// MutualTLS holds the certificate and CA pool of mutual TLS between balancers and
// agents. The CA signs only their certificates, so any valid chain authorizes a
// process. Host names and addresses are not verified because they change
// whenever a VM is replaced. A nil *MutualTLS means plain TCP.
type MutualTLS struct {
	cert *proc.Followed[*tls.Certificate]
	pool *proc.Followed[*x509.CertPool]
}

// LoadTLS loads the certificate, key and CA files and reloads them when they
// change; new sessions use the new content.
func LoadTLS(certFile, keyFile, caFile string, log *logrus.Entry) (*MutualTLS, error) {
	cert, err := proc.FollowCertificate(log, certFile, keyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	pool, err := proc.Follow(log, func() (*x509.CertPool, error) { return readPool(caFile) }, caFile)
	if err != nil {
		return nil, errors.Annotatef(err, "caFile")
	}
	return &MutualTLS{cert, pool}, nil
}

func readPool(caFile string) (*x509.CertPool, error) {
	b, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Trace(err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("%s contains no certificate", caFile)
	}
	return pool, nil
}

// wrapClient performs the TLS handshake on a connection that this side dialed.
func (s *MutualTLS) wrapClient(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s == nil {
		return c, nil
	}
	return handshake(ctx, tls.Client(c, s.tlsConfig()))
}

// wrapServer performs the TLS handshake on a connection that this side accepted.
func (s *MutualTLS) wrapServer(ctx context.Context, c net.Conn) (net.Conn, error) {
	if s == nil {
		return c, nil
	}
	return handshake(ctx, tls.Server(c, s.tlsConfig()))
}

// handshake completes the TLS handshake explicitly. Otherwise it would run with
// the first read or write of yamux, which hides the error.
func handshake(ctx context.Context, c *tls.Conn) (net.Conn, error) {
	if err := c.HandshakeContext(ctx); err != nil {
		c.Close()
		return nil, errors.Trace(err)
	}
	return c, nil
}

func (s *MutualTLS) tlsConfig() *tls.Config {
	pool := s.pool.Get()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*s.cert.Get()},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The default verification needs a host name; verifyChain replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}
}

// verifyChain verifies the certificate chain of the other side against the pool
// without checking a host name.
func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
