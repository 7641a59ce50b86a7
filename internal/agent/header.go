package agent

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// hopByHopFields are the fields that apply to a single connection (RFC 9110
// section 7.6.1).
var hopByHopFields = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callerAddressFields are the fields by which a caller could claim another
// address.
var callerAddressFields = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip"}

// withoutHopByHop returns a copy of h without hop-by-hop fields.
func withoutHopByHop(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopFields {
		c.Del(name)
	}
	return c
}

// requestHeader returns the header of the request to the upstream. If there is
// a deadline, the remaining time replaces the caller's timeout.
func requestHeader(r *http.Request, deadline, now time.Time) http.Header {
	h := withoutHopByHop(r.Header)
	for _, name := range callerAddressFields {
		h.Del(name)
	}
	caller, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		caller = r.RemoteAddr
	}
	h.Set("X-Forwarded-For", caller)
	h.Set("X-Forwarded-Host", r.Host)
	h.Set("X-Forwarded-Proto", "https")
	h.Del(hdrs.Timeout)
	if !deadline.IsZero() {
		h.Set(hdrs.Timeout, strconv.FormatInt(max(deadline.Sub(now).Milliseconds(), 0), 10))
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "") // otherwise net/http adds its own
	}
	return h
}

// answerHeader returns the header of an upstream's answer without the outcome
// fields, which only the agent may set.
func answerHeader(h http.Header) http.Header {
	c := withoutHopByHop(h)
	c.Del(hdrs.Outcome)
	c.Del(hdrs.Reason)
	return c
}

// maxTimeout bounds the timeout that a caller may set.
const maxTimeout = 24 * time.Hour

// callerTimeout returns the timeout that the caller set, or zero for none. It
// returns false if the timeout is invalid.
func callerTimeout(r *http.Request) (time.Duration, bool) {
	v := r.Header.Get(hdrs.Timeout)
	if v == "" {
		return 0, true
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n <= 0 {
		return 0, false
	}
	return time.Duration(min(n, maxTimeout.Milliseconds())) * time.Millisecond, true
}
