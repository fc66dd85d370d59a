package operations

import (
	"encoding/json"
	"strings"
	"testing"
)

// TestTableOfNewerDaemons guards against a show command that fails on unknown members
// of a status, hides them, or loses them in JSON.
func TestTableOfNewerDaemons(t *testing.T) {
	var o Overview
	for _, text := range []string{
		`{"Daemon":"a","Place":"asan","Revision":7,"Confirmed":"Peer","Draining":true,
			"Servers":[{"Server":"e1","Incarnation":2,"Place":"asan","State":"Leaving","InFlight":3}],
			"Queues":[{"Service":"s","Rank":"order","Queued":2,"OldestWaitSeconds":1.5}],
			"Leases":[{"Duty":"placement","Fence":9}],"Shards":{"Held":[1,2]},"Load":0.5,"Nothing":null}`,
		`{"Daemon":"b","Place":"lakeside","Servers":[{"Server":"e1","Incarnation":2,"State":"Serving","InFlight":1},
			{"Server":"e1","Incarnation":1,"State":"Gone","InFlight":40}],
			"Queues":[{"Service":"s","Rank":"order","Queued":3,"OldestWaitSeconds":0.5}]}`,
		`{"Daemon":"c","Queues":{"order":4}}`,
	} {
		var s Status
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			t.Fatal(err)
		}
		o.Daemons = append(o.Daemons, DaemonReport{Daemon: s.Daemon, Status: &s})
	}
	o.Daemons = append(o.Daemons, DaemonReport{Daemon: "d", Error: "refused"})
	var table strings.Builder
	if err := o.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"a asan 7 Peer draining", "d no status: refused", "e1 asan 2 Leaving (1), Serving (1) 4", "s order 5 1.5s",
		"a placement 9", "a [1,2]", "a 0.5", "c 4",
	} {
		found := false
		for _, line := range strings.Split(table.String(), "\n") {
			fields := strings.Fields(strings.ReplaceAll(line, " - ", " "))
			found = found || strings.Contains(strings.Join(fields, " ")+" ", want+" ")
		}
		if !found {
			t.Errorf("table has no row %q:\n%s", want, &table)
		}
	}
	data, err := json.Marshal(o)
	if err != nil || !strings.Contains(string(data), `"Leases":[{"Duty":"placement","Fence":9}]`) {
		t.Errorf("JSON has lost a member: %s, %v", data, err)
	}
}
