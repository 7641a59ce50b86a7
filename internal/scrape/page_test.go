package scrape_test

import (
	"strconv"
	"strings"
	"testing"

	dto "github.com/prometheus/client_model/go"

	"github.com/bramleycourse/bramleycourse/internal/scrape"
	"github.com/bramleycourse/bramleycourse/internal/scrape/strict"
)

// TestEscapes checks tags and help texts with characters that the format escapes.
func TestEscapes(t *testing.T) {
	const odd = "a \"b\" \\n\nc"
	p := scrape.New("agent", map[string]string{"role": odd})
	p.Describe("opened", odd)
	p.Total("opened", map[string]string{"why": odd}, 1<<40)
	have := strict.Get(t, p)
	have.Want(t, "agent_opened", "role="+odd+",why="+odd, dto.MetricType_COUNTER, 1<<40)
	if h := have["agent_opened"].GetHelp(); h != odd {
		t.Errorf("want help %q, have %q", odd, h)
	}
}

// TestSizeLimit checks that a page which would be too long is without the family that
// is too long, and has the others.
func TestSizeLimit(t *testing.T) {
	p := scrape.New("agent", nil)
	for _, name := range []string{"a", "m", "z"} {
		p.Describe(name, name)
		p.Total(name, nil, 5)
	}
	long := strings.Repeat("x", 200)
	for n := range 12000 {
		p.Total("m", map[string]string{"k": long + strconv.Itoa(n)}, 1)
	}
	have := strict.Get(t, p)
	have.Want(t, "agent_a", "", dto.MetricType_COUNTER, 5)
	have.Want(t, "agent_z", "", dto.MetricType_COUNTER, 5)
	if _, ok := have["agent_m"]; ok {
		t.Error("want no agent_m")
	}
}
