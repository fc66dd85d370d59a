package route

import (
	"fmt"
	"math"
	"testing"
)

// TestMatch guards against a request that matches a shorter prefix than it should, or
// no route because of the case or the port of its host.
func TestMatch(t *testing.T) {
	table := NewTable([]Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"a.example", "/x/y", "short"},
		{"A.Example:8080", "/x/y/", "long"},
		{"b.example", "/x/y/1", "other"},
		{"a.example", "/x", ""},
		{"a.example", "/", ""},
		{"c.example", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q) = %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// TestService guards against a choice that is not deterministic, or that does not
// follow the weights.
func TestService(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	const n = 20_000
	counts := map[string]int{}
	for i := range n {
		id := fmt.Sprintf("%016x", i*2654435761)
		got := r.ChooseService(id)
		if again := r.ChooseService(id); again != got {
			t.Fatalf("id %s got %q and then %q", id, got, again)
		}
		counts[got]++
	}
	if share := float64(counts["b"]) / n; math.Abs(share-0.1) > 0.01 || counts["none"] > 0 {
		t.Errorf("counts %v of %d", counts, n)
	}
	if got := (&Route{Shares: []Share{{"only", 0}}}).ChooseService("x"); got != "only" {
		t.Errorf("a route with one share of weight 0 chose %q", got)
	}
	if got := (&Route{}).ChooseService("x"); got != "" {
		t.Errorf("a route without shares chose %q", got)
	}
}
