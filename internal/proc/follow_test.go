package proc

import (
	"os"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/certs"
)

// TestCertificate guards against a certificate that is not read again, and
// against one that is lost while its files do not fit each other.
func TestCertificate(t *testing.T) {
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
		t.Error("want the first certificate while the key does not fit the new one")
	}
	must(os.WriteFile(keyFile, key, 0o600))
	must(os.Chtimes(keyFile, time.Now(), time.Now().Add(time.Second)))
	if current() == first {
		t.Error("want the new certificate")
	}
}
