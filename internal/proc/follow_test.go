package proc

import (
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/certs"
)

// TestFollowCertificate checks that a changed certificate is reloaded, and that the
// previous one stays in use while the certificate and the key do not match.
func TestFollowCertificate(t *testing.T) {
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	dir := t.TempDir()
	ca, err := certs.NewAuthority(time.Hour)
	must(err)
	certFile, keyFile, err := ca.IssueFiles(dir, "service")
	must(err)
	s, err := FollowCertificate(logrus.NewEntry(logrus.New()), certFile, keyFile)
	must(err)
	current := func() string {
		s.checked = time.Time{}
		return string(s.Get().Certificate[0])
	}
	first := current()
	cert, key, err := ca.Issue("service")
	must(err)
	must(os.WriteFile(certFile, cert, 0o600))
	must(os.Chtimes(certFile, time.Now(), time.Now().Add(time.Second)))
	if current() != first {
		t.Error("want the first certificate while the key does not match the new one")
	}
	must(os.WriteFile(keyFile, key, 0o600))
	must(os.Chtimes(keyFile, time.Now(), time.Now().Add(time.Second)))
	if current() == first {
		t.Error("want the new certificate")
	}
}
