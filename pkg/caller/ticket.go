package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/juju/errors"

	"github.com/bramleycourse/bramleycourse/internal/hdrs"
)

// maxTicketResponse is the limit in bytes for reading {"ticket": "..."}, which is
// far shorter.
const maxTicketResponse = 4 << 10

// tryWithTicket sends a request with a new ticket. When the response is lost, it
// sends the same ticket again until the outcome is known, at most maxRepetitions
// times.
func (l *call) tryWithTicket(ctx context.Context) (*http.Response, error) {
	l.retireQueueFullFlow()
	f, err := l.acquire(ctx)
	if err != nil {
		return nil, err
	}
	// The reference taken by acquire keeps the flow open until the last repetition
	// of the ticket. Each send releases one reference, so another is taken before it.
	defer f.release()
	f.retain()
	ticket, err := l.fetchTicket(ctx, f)
	if err != nil {
		f.retire()
		return nil, err
	}
	f.retain()
	resp, err := l.sendAndBuffer(ctx, f, ticket)
	for n := 1; isResponseLost(err) && n <= maxRepetitions && l.client.waitBackoff(ctx, n); n++ {
		l.client.stats.repetitions.Add(1)
		resp, err = l.repeatTicket(ctx, f, ticket, err)
		var unknown *UnknownError
		if errors.As(err, &unknown) {
			unknown.Repetitions = n
		}
	}
	l.retireRefusing(f, err)
	return resp, err
}

// retain takes another reference to the flow.
func (f *flow) retain() {
	f.client.mu.Lock()
	f.refs++
	f.client.mu.Unlock()
}

// isResponseLost reports whether the outcome is unknown because the response was
// lost, not because the server reported it as unknown.
func isResponseLost(err error) bool {
	var e *UnknownError
	return errors.As(err, &e) && !e.Answered
}

// repeatTicket sends a ticket again after a lost response. Only the flow on which
// the ticket was issued leads to the agent that knows whether the request ran. A
// not-run response of another agent, or a repetition that was never sent, proves
// nothing about the first attempt.
func (l *call) repeatTicket(ctx context.Context, first *flow, ticket string, lost error) (*http.Response, error) {
	f := first
	if f.alive() {
		f.retain()
	} else {
		var err error
		if f, err = l.acquire(ctx); err != nil {
			return nil, lost
		}
	}
	resp, err := l.sendAndBuffer(ctx, f, ticket)
	var notRun *NotRunError
	if !errors.As(err, &notRun) {
		return resp, err
	}
	if f != first {
		f.retire()
	}
	if f == first && notRun.Answered {
		return nil, err
	}
	return nil, lost
}

// fetchTicket requests a ticket. Any failure means that the request was not run.
func (l *call) fetchTicket(ctx context.Context, f *flow) (string, error) {
	u := *l.req.URL
	u.Path, u.RawPath, u.RawQuery = hdrs.TicketPath, "", ""
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), nil)
	if err != nil {
		f.release()
		return "", errors.Trace(err)
	}
	t := &call{client: l.client, req: req, host: l.host}
	resp, err := t.send(ctx, f, req)
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun):
		return "", err
	case err != nil:
		return "", l.notRunError("no ticket", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxTicketResponse))
	var a struct {
		Ticket string `json:"ticket"`
	}
	if err == nil {
		err = json.Unmarshal(b, &a)
	}
	if err == nil && (resp.StatusCode != http.StatusCreated || a.Ticket == "") {
		err = fmt.Errorf("status %d without a ticket", resp.StatusCode)
	}
	if err != nil {
		return "", l.notRunError("no ticket", err)
	}
	return a.Ticket, nil
}

// sendAndBuffer sends the request with a ticket and reads the response body into
// memory up to the limit, so that a response that breaks off within the limit
// can be requested again. The rest of a longer body is not buffered and cannot
// be requested again.
func (l *call) sendAndBuffer(ctx context.Context, f *flow, ticket string) (*http.Response, error) {
	req := l.req.Clone(ctx)
	req.Header.Set(hdrs.Ticket, ticket)
	resp, err := l.send(ctx, f, req)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, l.client.settings.bodyLimit))
	if err != nil {
		resp.Body.Close()
		return nil, l.unknownError("answer ended early", err)
	}
	if int64(len(b)) < l.client.settings.bodyLimit {
		resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(b))
		return resp, nil
	}
	resp.Body = &readCloser{io.MultiReader(bytes.NewReader(b), resp.Body), resp.Body}
	return resp, nil
}

// readCloser joins the reader of the buffered and remaining body with its closer.
type readCloser struct {
	io.Reader
	io.Closer
}
