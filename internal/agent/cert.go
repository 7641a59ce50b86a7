package agent

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// certCheck is how often the certificate files are looked at, at most.
const certCheck = time.Second

// certSource holds the certificate shown to callers and reads it again when
// one of its files has changed.
type certSource struct {
	certFile, keyFile string
	log               *logrus.Entry

	mu      sync.Mutex
	cert    *tls.Certificate
	stamp   [2]fileStamp
	checked time.Time
}

// fileStamp tells two versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

func newCertSource(certFile, keyFile string, log *logrus.Entry) (*certSource, error) {
	s := &certSource{certFile: certFile, keyFile: keyFile, log: log}
	stamp, err := s.look()
	if err != nil {
		return nil, err
	}
	return s, s.read(stamp)
}

func (s *certSource) look() ([2]fileStamp, error) {
	var stamp [2]fileStamp
	for i, name := range []string{s.certFile, s.keyFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, errors.Trace(err)
		}
		stamp[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamp, nil
}

func (s *certSource) read(stamp [2]fileStamp) error {
	c, err := tls.LoadX509KeyPair(s.certFile, s.keyFile)
	if err != nil {
		return errors.Trace(err)
	}
	s.cert, s.stamp = &c, stamp
	return nil
}

// get implements tls.Config.GetCertificate. While the files do not fit each
// other, as between two writes, the previous certificate stays.
func (s *certSource) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.checked) < certCheck {
		return s.cert, nil
	}
	s.checked = now
	stamp, err := s.look()
	if err == nil && stamp != s.stamp {
		if err = s.read(stamp); err == nil {
			s.log.Info("certificate read again")
		}
	}
	if err != nil {
		s.log.WithError(err).Warn("certificate cannot be read again")
	}
	return s.cert, nil
}
