package operations

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// loggedExample matches a log in the operations page and the expected output of
// ExplainRequest for it.
var loggedExample = regexp.MustCompile("(?s)```log\n(.*?)\n```\n.*?```story ([0-9a-f]+)\n(.*?)\n```")

// TestOperationsPage guards against examples in the operations page that differ from
// the output of the command.
func TestOperationsPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	examples := loggedExample.FindAllStringSubmatch(string(page), -1)
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
