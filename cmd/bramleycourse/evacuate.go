package main

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/bramleycourse/bramleycourse/internal/plat"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// servingState is the state of an endpoint that takes new flows.
const servingState = "serving"

// evacuationWarnings describes the services whose new flows will be refused because
// of evacuated places: by the declared places, and by the upstreams that the
// platform lists.
func evacuationWarnings(ctx context.Context, client *plat.Client, d *decl.Declaration) []string {
	if len(d.Evacuated) == 0 {
		return nil
	}
	var warnings []string
	for _, name := range d.Unserved() {
		warnings = append(warnings, unservedWarning(name))
	}
	return append(warnings, upstreamWarnings(ctx, client, d)...)
}

// upstreamWarnings describes the services whose upstreams, as the platform lists
// them, are all in evacuated places. Services without a declared place are left out.
func upstreamWarnings(ctx context.Context, client *plat.Client, d *decl.Declaration) []string {
	if len(d.Evacuated) == 0 {
		return nil
	}
	unserved := d.Unserved()
	var warnings []string
	l, err := client.List(ctx, plat.KindEndpoint)
	if err != nil {
		return []string{fmt.Sprintf("the upstreams outside the evacuated places are not known: %v", err)}
	}
	for _, s := range d.Services {
		evacuated, others := countUpstreams(l.Objects, d, &s)
		if evacuated > 0 && others == 0 && !slices.Contains(unserved, s.Name) {
			warnings = append(warnings, fmt.Sprintf("service %s: all %d serving upstreams are in evacuated places, its new flows will be refused", s.Name, evacuated))
		}
	}
	return warnings
}

func unservedWarning(service string) string {
	return fmt.Sprintf("service %s: every place is evacuated or has weight 0, its new flows will be refused", service)
}

// countUpstreams counts the serving endpoints of a service in evacuated places and
// those elsewhere that may get new flows.
func countUpstreams(endpoints []plat.Object, d *decl.Declaration, s *decl.Service) (evacuated, others int) {
	for _, o := range endpoints {
		var m memberObject
		if json.Unmarshal(o.Value, &m) != nil || m.State != servingState || m.Service != s.Name {
			continue
		}
		switch {
		case d.Evacuates(decl.PlaceName(m.Place)):
			evacuated++
		case s.Weight(m.Place, m.Group) > 0:
			others++
		}
	}
	return evacuated, others
}
