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

// minCheckInterval is the least time between two checks of followed files.
const minCheckInterval = time.Second

// Followed holds a value that is loaded from files and reloads it when one of them
// has changed. It is safe for concurrent use.
type Followed[T any] struct {
	names []string
	load  func() (T, error)
	log   *logrus.Entry

	mu     sync.Mutex
	value  T
	stamps []fileStamp
	// checked is when the files were last checked for changes.
	checked time.Time
}

// fileStamp detects changes of a file without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
}

// Follow loads a value from the named files. The function load must read no others.
func Follow[T any](log *logrus.Entry, load func() (T, error), names ...string) (*Followed[T], error) {
	f := &Followed[T]{names: names, load: load, log: log.WithField("files", names)}
	stamps, err := f.stat()
	if err != nil {
		return nil, err
	}
	return f, f.reload(stamps)
}

func (f *Followed[T]) stat() ([]fileStamp, error) {
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

func (f *Followed[T]) reload(stamps []fileStamp) error {
	v, err := f.load()
	if err != nil {
		return errors.Trace(err)
	}
	f.value, f.stamps = v, stamps
	return nil
}

// Get checks the files for changes, at most once per minCheckInterval, and returns
// the value. If the files cannot be loaded, for example because only one of two
// matching files has been replaced yet, it returns the previous value.
func (f *Followed[T]) Get() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	if now.Sub(f.checked) < minCheckInterval {
		return f.value
	}
	f.checked = now
	stamps, err := f.stat()
	if err == nil && !slices.Equal(stamps, f.stamps) {
		if err = f.reload(stamps); err == nil {
			f.log.Info("files reloaded")
		}
	}
	if err != nil {
		f.log.WithError(err).Warn("files cannot be reloaded")
	}
	return f.value
}

// FollowCertificate loads a certificate and its key from PEM files and reloads them
// when they change.
func FollowCertificate(log *logrus.Entry, certFile, keyFile string) (*Followed[*tls.Certificate], error) {
	return Follow(log, func() (*tls.Certificate, error) {
		c, err := tls.LoadX509KeyPair(certFile, keyFile)
		return &c, err
	}, certFile, keyFile)
}
