package plat

import "net/http"

// DefaultWire returns the default format with a header for eras.
func DefaultWire(era func(http.Header) Era) Wire {
	w := defaultWire
	w.Era = era
	return w
}
