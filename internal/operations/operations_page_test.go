package operations

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// example matches a log of the operations page and the story that is told of it.
var example = regexp.MustCompile("(?s)```log\n(.*?)\n```\n.*?```story ([0-9a-f]+)\n(.*?)\n```")

// TestOperationsPage guards against examples in the operations page that its command
// does not find or shows otherwise.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := example.FindAllStringSubmatch(string(page), -1)
	if len(examples) < 3 {
		t.Fatalf("%d examples, want one for each of three kinds of failure", len(examples))
	}
	for _, e := range examples {
		var out strings.Builder
		if err := ExplainRequest(&out, e[2], strings.NewReader(e[1])); err != nil {
			t.Errorf("request %s: %v", e[2], err)
			continue
		}
		if diff := cmp.Diff(e[3], strings.TrimRight(out.String(), "\n")); diff != "" {
			t.Errorf("request %s: %s", e[2], diff)
		}
	}
}
