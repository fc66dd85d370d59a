package operations

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"apricotbridge/pkg/problem"
)

func readText(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// TestProblemTable guards against a table in docs/callers.md that differs from
// problem.Table. On failure it prints the table to paste.
func TestProblemTable(t *testing.T) {
	const begin, end = "<!-- problems: begin, compared with problem.Table by a test -->\n", "<!-- problems: end -->"
	_, rest, found := strings.Cut(readText(t, "../../docs/callers.md"), begin)
	got, _, closed := strings.Cut(rest, end)
	if !found || !closed {
		t.Fatal("docs/callers.md has no table of problems")
	}
	want := "\n| Kind | Status | Title | Ran | Come back |\n|---|---|---|---|---|\n"
	for _, row := range problem.Table {
		comeBack := "no"
		if row.ComeBack {
			comeBack = "yes"
		}
		want += fmt.Sprintf("| `%s` | %d | %s | %s | %s |\n", row.Kind, row.Status, row.Title, row.Ran, comeBack)
	}
	want += "\n"
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("table of docs/callers.md (-want +got):\n%s\nthe whole table:\n%s", diff, want)
	}
}

// TestDependencies guards against direct requirements that docs/dependencies.md
// omits, and against obsolete ones that it lists.
func TestDependencies(t *testing.T) {
	page := readText(t, "../../docs/dependencies.md")
	required := map[string]bool{}
	block := false
	for _, line := range strings.Split(readText(t, "../../go.mod"), "\n") {
		fields := strings.Fields(strings.TrimPrefix(line, "require "))
		switch {
		case line == "require (":
			block = true
		case line == ")":
			block = false
		case (block || strings.HasPrefix(line, "require ")) && len(fields) >= 2 && !strings.HasSuffix(line, "// indirect"):
			required[fields[0]] = true
			if !strings.Contains(page, "\n| `"+fields[0]+"` | ") {
				t.Errorf("docs/dependencies.md does not list %s", fields[0])
			}
		}
	}
	if len(required) < 10 {
		t.Errorf("go.mod has only %d direct requirements; the test parses it wrongly", len(required))
	}
	for _, line := range strings.Split(page, "\n") {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			if name, _, _ = strings.Cut(name, "`"); !required[name] {
				t.Errorf("docs/dependencies.md lists %s, which go.mod does not require", name)
			}
		}
	}
}
