package caller_test

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/bramleycourse/bramleycourse/pkg/caller"
)

// No server listens at the address, so the request is not run.
func Example() {
	client := caller.New(
		caller.WithTLS(&tls.Config{ServerName: "listas.example"}),
		caller.WithDialTimeout(50*time.Millisecond),
		caller.WithAttempts(2),
	)
	defer client.Close()

	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// An update must not run twice, so the client sends it with a ticket.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "https://127.0.0.1:9/update", strings.NewReader("price=7"))
	if err != nil {
		fmt.Println(err)
		return
	}
	resp, err := client.Do(req)
	var (
		notRun  *caller.NotRunError
		unknown *caller.UnknownError
	)
	switch {
	case err == nil:
		defer resp.Body.Close()
		fmt.Println("ran:", resp.Status)
	case errors.As(err, &notRun):
		fmt.Println("did not run, attempts:", notRun.Attempts)
	case errors.As(err, &unknown):
		fmt.Println("may have run:", unknown.Reason)
	default:
		fmt.Println("invalid request:", err)
	}
	// Output: did not run, attempts: 2
}

// ExampleClient_Feed prints the events of a feed until its server ends it.
func ExampleClient_Feed() {
	client := caller.New()
	defer client.Close()
	follow := func(ctx context.Context) error {
		feed, err := client.Feed(ctx, "https://listas.example/feeds/prices", nil)
		if err != nil {
			return err
		}
		defer feed.Close()
		for {
			event, err := feed.Next(ctx)
			if err != nil {
				return err
			}
			fmt.Printf("%s: %s\n", event.ID, event.Data)
		}
	}
	_ = follow
}
