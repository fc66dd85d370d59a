package operations

import (
	"strings"
	"testing"
)

const explainLog = `noise
d1 {"time":"2026-04-02T22:35:41.000Z","level":"INFO","msg":"routing decision","RequestID":"9c41","Server":"s1","Reason":"lowest score"}
d1 {"time":"2026-04-02T22:35:41.500Z","level":"INFO","msg":"routing decision","RequestID":"other","Server":"s2"}
d1 {"time":"2026-04-02T22:35:42.000Z","level":"INFO","msg":"request ended","RequestID":"9c41","Outcome":"Answered","Took":1000}
`

const explainOtherLog = `d2 {"time":"2026-04-02T22:35:41.200Z","level":"INFO","msg":"server Leaving","Server":"s1"}
d2 {"time":"2026-04-02T22:35:41.300Z","level":"INFO","msg":"server Leaving","Server":"s2"}
d2 {"time":"2026-04-02T22:20:41.300Z","level":"INFO","msg":"server Added","Server":"s1"}
`

// TestExplainRequest guards against an explanation that lacks lines of the request,
// contains lines of other requests, or lacks events of its servers in that time.
func TestExplainRequest(t *testing.T) {
	var out strings.Builder
	if err := ExplainRequest(&out, "9c41", strings.NewReader(explainLog), strings.NewReader(explainOtherLog)); err != nil {
		t.Fatal(err)
	}
	want := `    0.000 s  d1 routing decision Reason=lowest score Server=s1
    0.200 s  d2 server Leaving Server=s1
    1.000 s  d1 request ended Outcome=Answered Took=1000
`
	if out.String() != want {
		t.Errorf("got:\n%s\nwant:\n%s", out.String(), want)
	}
	if err := ExplainRequest(&out, "none", strings.NewReader(explainLog)); err == nil {
		t.Error("a request without lines was explained")
	}
}
