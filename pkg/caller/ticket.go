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

// maxTicketAnswer is far above the size of {"ticket": "..."}.
const maxTicketAnswer = 4 << 10

// tryTicket sends a request with a new ticket. When the answer is lost, the
// same ticket is repeated until the outcome is known or the tries are used up.
func (l *call) tryTicket(ctx context.Context) (*http.Response, error) {
	l.leaveBusy()
	f, err := l.acquire(ctx)
	if err != nil {
		return nil, err
	}
	// Keeps the flow open between the ticket and its last repetition on it.
	// Each sending takes and gives back a place of its own.
	defer f.release()
	f.hold()
	ticket, err := l.ticket(ctx, f)
	if err != nil {
		f.retire()
		return nil, err
	}
	f.hold()
	resp, err := l.sendWhole(ctx, f, ticket)
	for n := 1; isLost(err) && n <= maxRepetitions && l.client.pause(ctx, n); n++ {
		l.client.stats.repetitions.Add(1)
		resp, err = l.repeat(ctx, f, ticket, err)
		var unknown *UnknownError
		if errors.As(err, &unknown) {
			unknown.Repetitions = n
		}
	}
	l.refused(f, err)
	return resp, err
}

// hold takes another place on the flow.
func (f *flow) hold() {
	f.client.mu.Lock()
	f.inUse++
	f.client.mu.Unlock()
}

// isLost says that no answer came, unlike an answer that says unknown.
func isLost(err error) bool {
	var e *UnknownError
	return errors.As(err, &e) && !e.Answered
}

// repeat sends a ticket again after a lost answer. Only the flow that the
// ticket came from leads to the agent that knows whether it ran: a not-run of
// another agent, or a repetition that was never sent, says nothing about the
// first one.
func (l *call) repeat(ctx context.Context, first *flow, ticket string, lost error) (*http.Response, error) {
	f := first
	if f.alive() {
		f.hold()
	} else {
		var err error
		if f, err = l.acquire(ctx); err != nil {
			return nil, lost
		}
	}
	resp, err := l.sendWhole(ctx, f, ticket)
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

// ticket fetches a ticket. Any failure means that the request was not run.
func (l *call) ticket(ctx context.Context, f *flow) (string, error) {
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
		return "", l.notSent("no ticket", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxTicketAnswer))
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
		return "", l.notSent("no ticket", err)
	}
	return a.Ticket, nil
}

// sendWhole sends the request with a ticket and keeps the whole answer in
// memory, so that an answer lost in its middle can be asked for again. The
// rest of an answer above the limit is not kept: it cannot be asked for again.
func (l *call) sendWhole(ctx context.Context, f *flow, ticket string) (*http.Response, error) {
	req := l.req.Clone(ctx)
	req.Header.Set(hdrs.Ticket, ticket)
	resp, err := l.send(ctx, f, req)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, l.client.settings.bodyLimit))
	if err != nil {
		resp.Body.Close()
		return nil, l.lost("answer ended early", err)
	}
	if int64(len(b)) < l.client.settings.bodyLimit {
		resp.Body.Close()
		resp.Body = io.NopCloser(bytes.NewReader(b))
		return resp, nil
	}
	resp.Body = &joined{io.MultiReader(bytes.NewReader(b), resp.Body), resp.Body}
	return resp, nil
}

// joined reads the part in memory and then the rest.
type joined struct {
	io.Reader
	io.Closer
}
