package agent

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// hopByHop lists the fields that concern one connection only (RFC 9110 section 7.6.1).
var hopByHop = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// forwarded lists the fields with which a caller could claim another address.
var forwarded = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto", "X-Real-Ip"}

// passOn returns a copy of h without the fields that end at the agent.
func passOn(h http.Header) http.Header {
	c := h.Clone()
	if c == nil {
		c = http.Header{}
	}
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		c.Del(name)
	}
	return c
}

// requestHeader returns the header of the request to the upstream. The remaining
// time, if there is a deadline, replaces the caller's.
func requestHeader(r *http.Request, deadline, now time.Time) http.Header {
	h := passOn(r.Header)
	for _, name := range forwarded {
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
		h.Set("User-Agent", "") // else net/http adds its own
	}
	return h
}

// answerHeader returns the header of an upstream's answer. Only the system
// itself may say what the outcome of a request is.
func answerHeader(h http.Header) http.Header {
	c := passOn(h)
	c.Del(hdrs.Outcome)
	c.Del(hdrs.Reason)
	return c
}

// maxTimeout bounds the time that a caller may give a request.
const maxTimeout = 24 * time.Hour

// timeout returns the time that the caller gives the request; zero means none.
func timeout(r *http.Request) (time.Duration, bool) {
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
