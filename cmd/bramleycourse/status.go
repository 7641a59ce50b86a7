package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/bramleycourse/bramleycourse/internal/config"
	"github.com/bramleycourse/bramleycourse/internal/ident"
	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/internal/proc"
)

type statusCmd struct {
	Platform string   `help:"Base URL of the platform; lists every balancer and endpoint." xor:"source" required:""`
	At       []string `help:"Admin addresses of processes to ask, without the platform." xor:"source" required:""`
	Name     string   `help:"Name of the configuration." default:"main"`
	JSON     bool     `name:"json" help:"Print JSON."`

	out io.Writer
}

// unknownName is the name shown for a process that has not answered.
const unknownName = "-"

// process is the status of one process.
type process struct {
	Role    string `json:"role"`
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Place   string `json:"place,omitempty"`
	Admin   string `json:"admin,omitempty"`
	State   string `json:"state"`
	// Generation is the generation in force; nil if it is not known.
	Generation *ident.Generation `json:"generation"`
	// AgeSeconds is the time since the process started; nil if it is not known.
	AgeSeconds *float64 `json:"ageSeconds"`
	// Behind is true if a higher generation is accepted by the platform or in
	// force on another process.
	Behind bool `json:"behind"`
	// Evacuated is true if the agent takes no new flows because its place is
	// evacuated.
	Evacuated bool   `json:"evacuated,omitempty"`
	Error     string `json:"error,omitempty"`
}

// report is the status of all processes.
type report struct {
	// Accepted is the generation on the platform; zero if it is not known.
	Accepted  ident.Generation `json:"accepted"`
	Processes []*process       `json:"processes"`
}

// Run prints the status.
func (c *statusCmd) Run(ctx context.Context) error {
	if c.out == nil {
		c.out = os.Stdout
	}
	var r report
	for _, a := range c.At {
		r.Processes = append(r.Processes, &process{Role: "-", Name: unknownName, State: "-", Admin: a})
	}
	if c.Platform != "" {
		if err := r.list(ctx, plat.New(c.Platform, platformTimeout), c.Name); err != nil {
			return err
		}
	}
	r.queryAll(ctx)
	r.markBehind()
	if c.JSON {
		return printJSON(c.out, &r)
	}
	return r.write(c.out)
}

// memberObject is the part of a balancer's or endpoint's platform object that
// status shows.
type memberObject struct {
	Key struct {
		Name     string         `json:"name"`
		Hop      string         `json:"hop"`
		Instance ident.Instance `json:"instance"`
	} `json:"key"`
	State   string `json:"state"`
	Service string `json:"service"`
	Place   string `json:"place"`
	Group   string `json:"group"`
	Admin   string `json:"admin"`
}

// list adds the accepted generation and the processes known to the platform.
func (r *report) list(ctx context.Context, client *plat.Client, name string) error {
	if cur, err := client.Get(ctx, plat.KindConfig, name); err == nil {
		var o config.Object
		if err := json.Unmarshal(cur.Value, &o); err != nil {
			return fmt.Errorf("configuration %q on the platform: %w", name, err)
		}
		r.Accepted = o.Generation
	}
	for _, k := range []plat.Kind{plat.KindBalancer, plat.KindEndpoint} {
		l, err := client.List(ctx, k)
		if err != nil {
			return err
		}
		// The platform returns objects in no particular order.
		slices.SortFunc(l.Objects, func(a, b plat.Object) int { return cmp.Compare(a.Name, b.Name) })
		for _, o := range l.Objects {
			var m memberObject
			p := &process{Role: string(k), Name: o.Name}
			if err := json.Unmarshal(o.Value, &m); err != nil {
				p.Error = err.Error()
			}
			p.State, p.Service, p.Place, p.Admin = m.State, m.Service, m.Place, m.Admin
			r.Processes = append(r.Processes, p)
		}
	}
	return nil
}

// maxQueries bounds the processes that are queried concurrently.
const maxQueries = 16

// queryAll queries every process that has an admin address.
func (r *report) queryAll(ctx context.Context) {
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxQueries)
	for _, p := range r.Processes {
		if p.Admin == "" {
			continue
		}
		wg.Go(func() {
			sem <- struct{}{}
			defer func() { <-sem }()
			if err := p.query(ctx); err != nil {
				p.Error = err.Error()
			}
		})
	}
	wg.Wait()
}

// stateDump is the part of a state dump that status shows. An agent reports the
// generation at the top level, a balancer within its configuration.
type stateDump struct {
	State         string            `json:"state"`
	Service       string            `json:"service"`
	Evacuated     bool              `json:"evacuated"`
	Generation    *ident.Generation `json:"generation"`
	Configuration *struct {
		Generation ident.Generation `json:"generation"`
	} `json:"configuration"`
}

// query fills in what the process reports at its admin address.
func (p *process) query(ctx context.Context) error {
	var (
		id proc.Identity
		d  stateDump
	)
	for path, v := range map[string]any{"/process": &id, "/state": &d} {
		b, err := fetch(ctx, p.Admin, path)
		if err != nil {
			return err
		}
		if err := json.Unmarshal(b, v); err != nil {
			return fmt.Errorf("%s%s: %w", p.Admin, path, err)
		}
	}
	age := id.UptimeSeconds
	p.Role, p.AgeSeconds, p.Generation = id.Role, &age, d.Generation
	p.Evacuated = d.Evacuated
	if p.Name == unknownName {
		// An agent reports its service as its name, so the unique name from the
		// platform is preferred.
		p.Name = id.Name
	}
	if d.State != "" {
		p.State = d.State
	}
	if d.Service != "" {
		p.Service = d.Service
	}
	if d.Configuration != nil {
		p.Generation = &d.Configuration.Generation
	}
	return nil
}

// markBehind marks the processes whose generation is older than the newest one.
func (r *report) markBehind() {
	newest := r.Accepted
	for _, p := range r.Processes {
		if p.Generation != nil {
			newest = max(newest, *p.Generation)
		}
	}
	for _, p := range r.Processes {
		p.Behind = p.Generation != nil && *p.Generation < newest
	}
}

func (r *report) write(w io.Writer) error {
	if r.Accepted != 0 {
		fmt.Fprintf(w, "accepted generation %d\n", r.Accepted)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "role\tname\tservice\tplace\tstate\tgeneration\tage\tnote")
	for _, p := range r.Processes {
		generation, age, note := "-", "-", p.Error
		if p.Generation != nil {
			generation = fmt.Sprint(*p.Generation)
		}
		if p.AgeSeconds != nil {
			age = time.Duration(*p.AgeSeconds * float64(time.Second)).Round(time.Second).String()
		}
		if p.Evacuated {
			note = "evacuated"
		}
		if p.Behind {
			note = "behind"
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", p.Role, p.Name, p.Service, p.Place, p.State, generation, age, note)
	}
	return tw.Flush()
}
