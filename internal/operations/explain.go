package operations

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// explainLine is a log line in the explanation of a request.
type explainLine struct {
	at     time.Time
	source string
	text   string
}

// maxLogLine bounds one line of a log.
const maxLogLine = 1 << 20

// ExplainRequest writes the log lines of one request, merged in order of time with
// the lines about the servers that it was sent to. Each input is the log of one or
// more processes; the text before the JSON of a line names its source.
func ExplainRequest(w io.Writer, id string, logs ...io.Reader) error {
	var lines []explainLine
	servers := map[string]bool{}
	var texts []string
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLogLine)
		for scanner.Scan() {
			texts = append(texts, scanner.Text())
		}
		if err := scanner.Err(); err != nil {
			return errors.Annotate(err, "read log")
		}
	}
	for _, text := range texts {
		line, fields := parseLogLine(text)
		if fields["RequestID"] != id {
			continue
		}
		lines = append(lines, line)
		if s, ok := fields["Server"].(string); ok {
			servers[s] = true
		}
	}
	if len(lines) == 0 {
		return errors.Errorf("no log line of request %q", id)
	}
	first, last := lines[0].at, lines[0].at
	for _, l := range lines {
		first, last = earlier(first, l.at), later(last, l.at)
	}
	for _, text := range texts {
		line, fields := parseLogLine(text)
		s, ok := fields["Server"].(string)
		if _, request := fields["RequestID"]; request || !ok || !servers[s] {
			continue
		}
		if line.at.After(first.Add(-contextBefore)) && line.at.Before(last.Add(contextAfter)) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b explainLine) int { return a.at.Compare(b.at) })
	for _, l := range lines {
		fmt.Fprintf(w, "%9.3f s  %s%s\n", l.at.Sub(first).Seconds(), l.source, l.text)
	}
	return nil
}

// Lines about the servers are shown from contextBefore before the first line of the
// request to contextAfter after its last one.
const (
	contextBefore = 5 * time.Second
	contextAfter  = time.Second
)

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// parseLogLine parses a line; fields is nil if it is not JSON.
func parseLogLine(text string) (explainLine, map[string]any) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return explainLine{}, nil
	}
	var fields map[string]any
	if err := json.Unmarshal([]byte(text[start:]), &fields); err != nil {
		return explainLine{}, nil
	}
	line := explainLine{source: strings.TrimLeft(text[:start], " ")}
	if stamp, ok := fields["time"].(string); ok {
		line.at, _ = time.Parse(time.RFC3339Nano, stamp) // Lines without a valid time sort first.
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%v", fields["msg"])
	for _, key := range slices.Sorted(maps.Keys(fields)) {
		switch key {
		case "time", "level", "msg", "RequestID":
		default:
			fmt.Fprintf(&b, " %s=%v", key, fields[key])
		}
	}
	line.text = b.String()
	return line, fields
}
