package agent

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/proc"
	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
	"github.com/bramleycourse/bramleycourse/pkg/decl"
)

// TestRefusedMetric checks that all refusals are on the first page, and that a page has
// those counted just before.
func TestRefusedMetric(t *testing.T) {
	f := proc.New("agent", "listas", io.Discard)
	r := newRefusalCounter(discardLog(), f.Scope)
	p := strict.Get(t, f.Metrics())
	for what, reasons := range refusalReasons {
		for _, why := range reasons {
			p.Want(t, "bramleycourse_refused", "reason="+why+",role=agent,what="+what, dto.MetricType_COUNTER, 0)
		}
	}
	if n := len(r.totals()); n > 0 {
		t.Errorf("want no refusals in the dump, have %d", n)
	}
	for n := range 3 {
		r.add("packet", "check")
		strict.Get(t, f.Metrics()).Want(t, "bramleycourse_refused", "reason=check,role=agent,what=packet", dto.MetricType_COUNTER, float64(n+1))
	}
}

// TestRefusalsListed checks that the reasons in the source are in refusalReasons.
func TestRefusalsListed(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	packet, request := regexp.MustCompile(`countRefusal\("(.*?)"\)`), regexp.MustCompile(`\treason\w+ += "(.*)"`)
	found := 0
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, m := range packet.FindAllSubmatch(text, -1) {
			if found++; !slices.Contains(refusalReasons["packet"], string(m[1])) {
				t.Errorf("%s: packet reason %q is not listed", name, m[1])
			}
		}
		for _, m := range request.FindAllSubmatch(text, -1) {
			if found++; !slices.Contains(append(requestReasons, reasonCancelled), string(m[1])) {
				t.Errorf("%s: reason %q is not listed", name, m[1])
			}
		}
	}
	if found < 20 {
		t.Errorf("want at least 20 reasons in the source, have %d", found)
	}
}

// TestPage checks the page of a whole agent: it has the open flows by key from the
// start.
func TestPage(t *testing.T) {
	a := newTestBalancer(t).newAgent("127.0.0.1:0", "http://127.0.0.1:1", decl.Service{})
	p := strict.Get(t, a.process.Metrics())
	p.Want(t, "bramleycourse_connections_by_key", "key="+strconv.Itoa(int(a.keys().Current.Number))+",role=agent", dto.MetricType_GAUGE, 0)
}
