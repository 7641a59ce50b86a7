package config

import (
	"bytes"
	"context"
	"os"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bramleycourse/bramleycourse/internal/connid"
)

const (
	keysPollInterval = time.Second
	// minStampAge is the age at which a modification time identifies the content of
	// the file. Before that, another write may leave the stamp unchanged: keys files
	// have equal sizes, and file systems may give writes in quick succession the same
	// modification time.
	minStampAge = 2 * time.Second
)

// KeySource holds the keys of a keys file and reloads them when the file changes.
//
// A rotation takes three changes to the file. Each must be in force on all
// processes before the next: add the new key beside the current one, make it
// current, and remove the old one.
type KeySource struct {
	path string
	log  *logrus.Entry
	set  atomic.Pointer[connid.Set]

	// stamp and content belong to the goroutine that polls. content may be invalid.
	stamp   fileStamp
	content []byte
}

// fileStamp detects changes of a file without reading it.
type fileStamp struct {
	modified time.Time
	size     int64
	// settled is true if no later write can have the same modification time.
	settled bool
}

// NewKeySource loads a keys file, which must be valid.
func NewKeySource(path string, log *logrus.Entry) (*KeySource, error) {
	s := &KeySource{path: path, log: log.WithField("keysFile", path)}
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	set, err := parseKeys(b)
	if err != nil {
		return nil, err
	}
	s.content = b
	s.set.Store(set)
	return s, nil
}

// Load returns the keys in force. It is safe for concurrent use.
func (s *KeySource) Load() *connid.Set { return s.set.Load() }

// Run polls the file until the context ends.
func (s *KeySource) Run(ctx context.Context) error {
	t := time.NewTicker(keysPollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
			s.Poll()
		}
	}
}

// Poll rereads the file if it may have changed. If the file is invalid or cannot be
// read, the old keys stay in force. Poll is not safe for concurrent use.
func (s *KeySource) Poll() {
	info, err := os.Stat(s.path)
	if err != nil {
		s.reject(nil, err)
		return
	}
	stamp := fileStamp{info.ModTime(), info.Size(), time.Since(info.ModTime()) > minStampAge}
	if stamp.settled && s.stamp.settled && stamp.size == s.stamp.size && stamp.modified.Equal(s.stamp.modified) {
		return
	}
	b, err := os.ReadFile(s.path)
	if err != nil {
		s.reject(nil, err)
		return
	}
	s.stamp = stamp
	if bytes.Equal(b, s.content) {
		return
	}
	set, err := parseKeys(b)
	if err != nil {
		s.reject(b, err)
		return
	}
	s.content = b
	s.set.Store(set)
	s.log.WithField("current", set.Current.Number).Info("keys replaced")
}

// reject logs a file that is invalid or, with nil content, cannot be read. It stores
// the content so that the same failure is logged only once.
func (s *KeySource) reject(content []byte, err error) {
	if content == nil && s.content == nil {
		return
	}
	s.content, s.stamp.settled = content, s.stamp.settled && content != nil
	s.log.WithError(err).Error("keys file is not usable, the old keys stay in force")
}
