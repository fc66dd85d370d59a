package operations

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
)

// Table writes an overview for people: the daemons, the places, the backend
// servers, and whatever else the daemons tell, such as queues, leases and shards.
func (o *Overview) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "stored configuration: revision %s\n\n", orDash(strconv.FormatInt(o.StoredRevision, 10), "0"))
	o.daemons(t)
	o.places(t)
	o.servers(t)
	o.queues(t)
	o.more(t)
	return t.Flush()
}

func orDash(s, empty string) string {
	if s == empty {
		return "-"
	}
	return s
}

func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = orDash(fmt.Sprint(c), "")
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func (o *Overview) daemons(w io.Writer) {
	row(w, "DAEMON", "REGION", "PLACE", "REVISION", "CONFIRMED", "STATE", "CALLERS", "OPERATORS")
	for _, r := range o.Daemons {
		if r.Status == nil {
			row(w, r.Daemon, "", "", "", "", "no status: "+r.Error, "", r.OperatorAddress)
			continue
		}
		state := "serving"
		if r.Status.Draining {
			state = "draining"
		}
		row(w, r.Daemon, r.Status.Region, r.Status.Place, r.Status.Revision, r.Status.Confirmed, state, r.Status.CallerAddress, r.OperatorAddress)
	}
}

// server is a backend server as the daemons together see it.
type server struct {
	id, service, place string
	incarnation        int64
	states             map[string]int
	inFlight           int
}

// merged returns the backend servers by id. Daemons may disagree on a state for
// as long as a signal takes to spread.
func (o *Overview) merged() []*server {
	found := map[string]*server{}
	for _, r := range o.Daemons {
		if r.Status == nil {
			continue
		}
		for _, s := range r.Status.Servers {
			m, ok := found[s.Server]
			if !ok || s.Incarnation > m.incarnation {
				m = &server{id: s.Server, incarnation: s.Incarnation, service: s.Service, place: s.Place, states: map[string]int{}}
				found[s.Server] = m
			}
			if s.Incarnation == m.incarnation {
				state := s.State
				if s.Suspect {
					state += " suspect"
				}
				m.states[state]++
				m.inFlight += s.InFlight
			}
		}
	}
	list := make([]*server, 0, len(found))
	for _, m := range found {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// state names the state, or each state with the number of daemons that see it.
func (s *server) state() string {
	names := make([]string, 0, len(s.states))
	for name, n := range s.states {
		if len(s.states) > 1 {
			name = fmt.Sprintf("%s (%d)", name, n)
		}
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}

func (o *Overview) servers(w io.Writer) {
	fmt.Fprintln(w)
	row(w, "SERVER", "SERVICE", "PLACE", "INCARNATION", "STATE", "IN FLIGHT")
	for _, s := range o.merged() {
		row(w, s.id, s.service, s.place, s.incarnation, s.state(), s.inFlight)
	}
}

// places counts daemons and backend servers by place.
func (o *Overview) places(w io.Writer) {
	daemons, servers, inFlight := map[string]int{}, map[string]int{}, map[string]int{}
	names := map[string]bool{}
	for _, r := range o.Daemons {
		if r.Status != nil {
			daemons[r.Status.Place]++
			names[r.Status.Place] = true
		}
	}
	for _, s := range o.merged() {
		servers[s.place]++
		inFlight[s.place] += s.inFlight
		names[s.place] = true
	}
	fmt.Fprintln(w)
	row(w, "PLACE", "DAEMONS", "SERVERS", "IN FLIGHT")
	for _, name := range keys(names) {
		row(w, name, daemons[name], servers[name], inFlight[name])
	}
}

func keys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// queue is one row of the waiting work that a daemon tells.
type queue struct {
	Service           string
	Rank              string
	Queued            int
	OldestWaitSeconds float64
}

// queues sums the waiting work of all daemons by service and rank.
func (o *Overview) queues(w io.Writer) {
	sums := map[string]*queue{}
	for _, r := range o.Daemons {
		if r.Status == nil {
			continue
		}
		var list []queue
		if json.Unmarshal(r.Status.More["Queues"], &list) != nil {
			continue // Another form is shown as it is, among the members of more.
		}
		for _, q := range list {
			key := q.Service + "\x00" + q.Rank
			if sums[key] == nil {
				sums[key] = &queue{Service: q.Service, Rank: q.Rank}
			}
			sums[key].Queued += q.Queued
			sums[key].OldestWaitSeconds = max(sums[key].OldestWaitSeconds, q.OldestWaitSeconds)
		}
	}
	if len(sums) == 0 {
		return
	}
	fmt.Fprintln(w)
	row(w, "SERVICE", "RANK", "QUEUED", "OLDEST WAIT")
	for _, key := range keys(sums) {
		q := sums[key]
		row(w, q.Service, q.Rank, q.Queued, fmt.Sprintf("%.1fs", q.OldestWaitSeconds))
	}
}

// more writes one table for each member that this version doesn't know, with the
// rows of all daemons. A member may be a plain value, an object or a list of
// objects.
func (o *Overview) more(w io.Writer) {
	names := map[string]bool{}
	for _, r := range o.Daemons {
		if r.Status != nil {
			for name := range r.Status.More {
				names[name] = true
			}
		}
	}
	delete(names, "Daemons") // The table of daemons shows them.
	for _, name := range keys(names) {
		columns := map[string]bool{}
		var rows []moreRow
		for _, r := range o.Daemons {
			if r.Status == nil {
				continue
			}
			for _, cells := range flatten(r.Status.More[name]) {
				rows = append(rows, moreRow{r.Daemon, cells})
				for column := range cells {
					columns[column] = true
				}
			}
		}
		if len(rows) == 0 {
			continue
		}
		writeMore(w, name, keys(columns), rows)
	}
}

// moreRow is one row of an unknown member.
type moreRow struct {
	daemon string
	cells  map[string]string
}

func writeMore(w io.Writer, name string, columns []string, rows []moreRow) {
	fmt.Fprintf(w, "\n%s\n", name)
	head := []any{"DAEMON"}
	for _, c := range columns {
		head = append(head, strings.ToUpper(c))
	}
	row(w, head...)
	for _, r := range rows {
		cells := []any{r.daemon}
		for _, c := range columns {
			cells = append(cells, r.cells[c])
		}
		row(w, cells...)
	}
}

// flatten returns the rows of a member as cells by column.
func flatten(value json.RawMessage) []map[string]string {
	value = bytes.TrimSpace(value)
	if len(value) == 0 || string(value) == "null" {
		return nil
	}
	var list []json.RawMessage
	if json.Unmarshal(value, &list) == nil {
		var rows []map[string]string
		for _, item := range list {
			rows = append(rows, cells(item))
		}
		return rows
	}
	return []map[string]string{cells(value)}
}

func cells(value json.RawMessage) map[string]string {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) != nil {
		return map[string]string{"value": plain(value)}
	}
	found := map[string]string{}
	for name, member := range object {
		found[name] = plain(member)
	}
	return found
}

// plain returns a string without its quotes and any other value as JSON.
func plain(value json.RawMessage) string {
	var s string
	if json.Unmarshal(value, &s) == nil {
		return s
	}
	var compact bytes.Buffer
	if json.Compact(&compact, value) != nil {
		return string(value)
	}
	return compact.String()
}
