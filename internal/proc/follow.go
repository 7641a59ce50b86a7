package proc

import (
	"crypto/tls"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
)

// fileCheck is how often followed files are looked at, at most.
const fileCheck = time.Second

// Followed holds a value that is read from files, and reads it again when one
// of them has changed. It is safe for concurrent use.
type Followed[T any] struct {
	names []string
	load  func() (T, error)
	log   *logrus.Entry

	mu      sync.Mutex
	value   T
	stamps  []fileStamp
	checked time.Time
}

// fileStamp tells two versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Follow loads a value from files; load must read only the named ones.
func Follow[T any](log *logrus.Entry, load func() (T, error), names ...string) (*Followed[T], error) {
	f := &Followed[T]{names: names, load: load, log: log.WithField("files", names)}
	stamps, err := f.look()
	if err != nil {
		return nil, err
	}
	return f, f.read(stamps)
}

func (f *Followed[T]) look() ([]fileStamp, error) {
	var stamps []fileStamp
	for _, name := range f.names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, errors.Trace(err)
		}
		stamps = append(stamps, fileStamp{info.ModTime(), info.Size()})
	}
	return stamps, nil
}

func (f *Followed[T]) read(stamps []fileStamp) error {
	v, err := f.load()
	if err != nil {
		return errors.Trace(err)
	}
	f.value, f.stamps = v, stamps
	return nil
}

// Get returns the value. While the files cannot be loaded, as between two
// writes that belong together, the previous value stays.
func (f *Followed[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) < fileCheck {
		return f.value
	}
	f.checked = now
	stamps, err := f.look()
	if err == nil && !slices.Equal(stamps, f.stamps) {
		if err = f.read(stamps); err == nil {
			f.log.Info("files read again")
		}
	}
	if err != nil {
		f.log.WithError(err).Warn("files cannot be read again")
	}
	return f.value
}

// FollowCertificate follows the PEM files of a certificate and its key.
func FollowCertificate(log *logrus.Entry, certFile, keyFile string) (*Followed[*tls.Certificate], error) {
	return Follow(log, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &c, err
	}, certFile, keyFile)
}
