package agent

import (
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// handler passes requests on to the upstream.
type handler struct {
	agent    *Agent
	upstream *http.Client
}

func newHandler(a *Agent) *handler {
	return &handler{agent: a, upstream: &http.Client{
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// ServeHTTP calls the upstream and copies its answer. An answer that the
// upstream breaks off is broken off towards the caller too.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.agent.requests.Add(1)
	resp, err := h.call(r)
	if err != nil {
		w.Header().Set(hdrs.Outcome, hdrs.Unknown)
		w.Header().Set(hdrs.Reason, "upstream call failed")
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	for k, v := range resp.Header {
		w.Header()[k] = v
	}
	w.WriteHeader(resp.StatusCode)
	if err := copyFlush(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *handler) call(r *http.Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, h.agent.settings.Upstream+r.URL.RequestURI(), r.Body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = r.ContentLength
	for k, v := range r.Header {
		req.Header[k] = v
	}
	return h.upstream.Do(req)
}

const copySize = 16 << 10

func copyFlush(w http.ResponseWriter, r io.Reader) error {
	b := make([]byte, copySize)
	c := http.NewResponseController(w)
	for {
		n, err := r.Read(b)
		if n > 0 {
			if _, err := w.Write(b[:n]); err != nil {
				return err
			}
			c.Flush()
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
