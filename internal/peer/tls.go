package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/juju/errors"
)

// LoadTLS returns the settings of mutual TLS between our processes. The
// authority in caFile signs only their certificates, so a valid chain is what
// admits a process; addresses change with every replaced VM and are not checked.
func LoadTLS(certFile, keyFile, caFile string) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, errors.Annotatef(err, "certFile and keyFile")
	}
	b, err := os.ReadFile(caFile)
	if err != nil {
		return nil, errors.Annotatef(err, "caFile")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, errors.Errorf("caFile %s holds no certificate", caFile)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		// The default check needs a host name; verifyChain replaces it.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verifyChain(s, pool) },
	}, nil
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
