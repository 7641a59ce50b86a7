// Package certs creates and rotates keys files, and issues short-lived certificates
// for demos, tests and first trials.
package certs

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
)

// Authority is a certificate authority.
type Authority struct {
	// Cert is the authority's own certificate.
	Cert *x509.Certificate
	// PEM is the PEM form of Cert.
	PEM []byte

	key      *ecdsa.PrivateKey
	validity time.Duration
}

// NewAuthority creates an authority. Its own certificate and those that it issues are
// valid for the given time.
func NewAuthority(validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := template("bramleycourse test authority", validity)
	t.IsCA = true
	t.KeyUsage |= x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Authority{Cert: cert, PEM: encodePEM("CERTIFICATE", der), key: key, validity: validity}, nil
}

// Pool returns a certificate pool that holds only the authority.
func (a *Authority) Pool() *x509.CertPool {
	p := x509.NewCertPool()
	p.AddCert(a.Cert)
	return p
}

// Issue returns a new certificate and its key in PEM form. The certificate is valid
// for localhost, 127.0.0.1 and the given names and IP addresses; the first of them is
// the common name.
func (a *Authority) Issue(names ...string) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	t := template(names[0], a.validity)
	t.DNSNames = []string{"localhost"}
	t.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	for _, n := range names {
		if ip := net.ParseIP(n); ip != nil {
			t.IPAddresses = append(t.IPAddresses, ip)
		} else {
			t.DNSNames = append(t.DNSNames, n)
		}
	}
	der, err := x509.CreateCertificate(rand.Reader, t, a.Cert, &k.PublicKey, a.key)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	return encodePEM("CERTIFICATE", der), encodePEM("EC PRIVATE KEY", keyDER), nil
}

// IssueFiles issues a certificate for a name and further names and IP addresses. It
// writes the certificate and its key to NAME.crt and NAME.key in dir.
func (a *Authority) IssueFiles(dir, name string, more ...string) (certFile, keyFile string, err error) {
	cert, key, err := a.Issue(append([]string{name}, more...)...)
	if err != nil {
		return "", "", err
	}
	certFile, keyFile = filepath.Join(dir, name+".crt"), filepath.Join(dir, name+".key")
	if err := os.WriteFile(certFile, cert, 0o600); err != nil {
		return "", "", err
	}
	return certFile, keyFile, os.WriteFile(keyFile, key, 0o600)
}

// KeysFile returns the JSON of a keys file with one random key.
func KeysFile(number uint8) []byte { return NewKeys(number).JSON() }

// template returns a certificate template with the given common name.
func template(name string, validity time.Duration) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
	if err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: name},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(validity),
		KeyUsage:              x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		BasicConstraintsValid: true,
	}
}

func encodePEM(blockType string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
}
