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
	// stampSettle is the age from which a modification time is trusted. Keys
	// files have equal sizes, and file systems may give two writes that follow
	// each other closely the same time.
	stampSettle = 2 * time.Second
)

// KeySource holds the keys of a keys file and follows its changes.
//
// A rotation takes three changes, each made on all processes before the next:
// add the new key beside the current one, make it current, remove the old one.
type KeySource struct {
	path string
	log  *logrus.Entry
	set  atomic.Pointer[connid.Set]

	// The fields below belong to the goroutine that polls.
	stamp   fileStamp
	content []byte
}

type fileStamp struct {
	modified time.Time
	size     int64
	// settled is true when no later write can carry the same modification time.
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

// Load returns the keys in force; it is safe for concurrent use.
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

// Poll rereads the file if it may have changed. When the new content is
// invalid or not readable the old keys stay in force. Only one goroutine may call it.
func (s *KeySource) Poll() {
	info, err := os.Stat(s.path)
	if err != nil {
		s.reject(nil, err)
		return
	}
	stamp := fileStamp{info.ModTime(), info.Size(), time.Since(info.ModTime()) > stampSettle}
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

// reject remembers the refused content so that it is logged once.
func (s *KeySource) reject(content []byte, err error) {
	if content == nil && s.content == nil {
		return
	}
	s.content, s.stamp.settled = content, s.stamp.settled && content != nil
	s.log.WithError(err).Error("keys file is not usable, the old keys stay in force")
}
