// Package config reads and validates the settings files and keys files of balancers
// and agents, and the configuration objects on the platform. Files are JSON without
// unknown fields. Data after the JSON value is an error except in keys files. Errors
// about a value name the invalid field; syntax errors and unknown fields of a file are
// reported as the JSON decoder's own errors.
package config

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
)

// FieldError reports an invalid field of a file or a configuration object.
type FieldError struct {
	// Path is the path of the field, such as "platform.url".
	Path string
	// Reason says what is wrong with the value.
	Reason string
}

// Error implements error.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// Platform holds the settings of the platform's object API.
type Platform struct {
	// URL is the base URL of the API; not empty.
	URL string `json:"url"`
	// RequestTimeoutMillis is the timeout of one call, in milliseconds; 10 to 60000,
	// default 2000.
	RequestTimeoutMillis int `json:"requestTimeoutMillis"`
}

// load reads a settings file into v.
func load(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := decodeStrict(b, v); err != nil {
		return errors.Annotatef(err, "settings file %s", path)
	}
	return nil
}

const (
	defaultRequestTimeoutMillis = 2000
	minRequestTimeoutMillis     = 10
	maxRequestTimeoutMillis     = 60000
)

func (p *Platform) check() error {
	u, err := url.Parse(p.URL)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" {
		return &FieldError{"platform.url", fmt.Sprintf("%q is not an http or https URL", p.URL)}
	}
	if p.RequestTimeoutMillis == 0 {
		p.RequestTimeoutMillis = defaultRequestTimeoutMillis
	}
	if t := p.RequestTimeoutMillis; t < minRequestTimeoutMillis || t > maxRequestTimeoutMillis {
		return &FieldError{"platform.requestTimeoutMillis", fmt.Sprintf("%d is not in %d to %d", t, minRequestTimeoutMillis, maxRequestTimeoutMillis)}
	}
	return nil
}

const defaultLogLevel = "info"

var logLevels = []string{"debug", defaultLogLevel, "warn", "error"}

// checkLogLevel checks a log level and replaces an empty one by the default.
func checkLogLevel(level *string) error {
	if *level == "" {
		*level = defaultLogLevel
	}
	if !slices.Contains(logLevels, *level) {
		return &FieldError{"logLevel", fmt.Sprintf("%q is not debug, info, warn or error", *level)}
	}
	return nil
}

func checkIPv4Addr(path, v string) error {
	if a, err := netip.ParseAddrPort(v); err != nil || !a.Addr().Is4() {
		return &FieldError{path, fmt.Sprintf("%q is not an IPv4 address and port", v)}
	}
	return nil
}

// Timeout returns RequestTimeoutMillis as a duration.
func (p *Platform) Timeout() time.Duration {
	return time.Duration(p.RequestTimeoutMillis) * time.Millisecond
}
