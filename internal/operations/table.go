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

// WriteTable writes an overview as text tables: daemons, places, backend servers,
// queues, and one table for each unknown member that daemons report, such as leases
// and shards.
func (o *Overview) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "stored configuration: revision %s\n\n", dashIfEmpty(strconv.FormatInt(o.StoredRevision, 10), "0"))
	o.writeDaemons(t)
	o.writePlaces(t)
	o.writeServers(t)
	o.writeQueues(t)
	o.writeUnknownMembers(t)
	return t.Flush()
}

func dashIfEmpty(s, empty string) string {
	if s == empty {
		return "-"
	}
	return s
}

func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = dashIfEmpty(fmt.Sprint(c), "")
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}

func (o *Overview) writeDaemons(w io.Writer) {
	writeRow(w, "DAEMON", "REGION", "PLACE", "REVISION", "CONFIRMED", "STATE", "CALLERS", "OPERATORS")
	for _, r := range o.Daemons {
		if r.Status == nil {
			writeRow(w, r.Daemon, "", "", "", "", "no status: "+r.Error, "", r.OperatorAddress)
			continue
		}
		state := "serving"
		if r.Status.Draining {
			state = "draining"
		}
		writeRow(w, r.Daemon, r.Status.Region, r.Status.Place, r.Status.Revision, r.Status.Confirmed, state, r.Status.CallerAddress, r.OperatorAddress)
	}
}

// mergedServer is a backend server as reported by all daemons.
type mergedServer struct {
	id, service, place string
	incarnation        int64
	states             map[string]int
	inFlight           int
}

// mergedServers returns the backend servers, ordered by id. Daemons may disagree on a
// state until a signal has spread.
func (o *Overview) mergedServers() []*mergedServer {
	byID := map[string]*mergedServer{}
	for _, r := range o.Daemons {
		if r.Status == nil {
			continue
		}
		for _, s := range r.Status.Servers {
			m, ok := byID[s.Server]
			if !ok || s.Incarnation > m.incarnation {
				m = &mergedServer{id: s.Server, incarnation: s.Incarnation, service: s.Service, place: s.Place, states: map[string]int{}}
				byID[s.Server] = m
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
	list := make([]*mergedServer, 0, len(byID))
	for _, m := range byID {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].id < list[j].id })
	return list
}

// state returns the state, or each reported state with the number of daemons that
// report it.
func (s *mergedServer) state() string {
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

func (o *Overview) writeServers(w io.Writer) {
	fmt.Fprintln(w)
	writeRow(w, "SERVER", "SERVICE", "PLACE", "INCARNATION", "STATE", "IN FLIGHT")
	for _, s := range o.mergedServers() {
		writeRow(w, s.id, s.service, s.place, s.incarnation, s.state(), s.inFlight)
	}
}

// writePlaces counts daemons and backend servers by place.
func (o *Overview) writePlaces(w io.Writer) {
	daemons, servers, inFlight := map[string]int{}, map[string]int{}, map[string]int{}
	names := map[string]bool{}
	for _, r := range o.Daemons {
		if r.Status != nil {
			daemons[r.Status.Place]++
			names[r.Status.Place] = true
		}
	}
	for _, s := range o.mergedServers() {
		servers[s.place]++
		inFlight[s.place] += s.inFlight
		names[s.place] = true
	}
	fmt.Fprintln(w)
	writeRow(w, "PLACE", "DAEMONS", "SERVERS", "IN FLIGHT")
	for _, name := range sortedKeys(names) {
		writeRow(w, name, daemons[name], servers[name], inFlight[name])
	}
}

func sortedKeys[V any](m map[string]V) []string {
	list := make([]string, 0, len(m))
	for k := range m {
		list = append(list, k)
	}
	sort.Strings(list)
	return list
}

// queueRow is the part of a reported queue that is shown.
type queueRow struct {
	Service           string
	Rank              string
	Queued            int
	OldestWaitSeconds float64
}

// writeQueues sums the queued requests of all daemons by service and rank.
func (o *Overview) writeQueues(w io.Writer) {
	sums := map[string]*queueRow{}
	for _, r := range o.Daemons {
		if r.Status == nil {
			continue
		}
		var list []queueRow
		if json.Unmarshal(r.Status.More["Queues"], &list) != nil {
			continue // Other forms are shown by writeUnknownMembers.
		}
		for _, q := range list {
			key := q.Service + "\x00" + q.Rank
			if sums[key] == nil {
				sums[key] = &queueRow{Service: q.Service, Rank: q.Rank}
			}
			sums[key].Queued += q.Queued
			sums[key].OldestWaitSeconds = max(sums[key].OldestWaitSeconds, q.OldestWaitSeconds)
		}
	}
	if len(sums) == 0 {
		return
	}
	fmt.Fprintln(w)
	writeRow(w, "SERVICE", "RANK", "QUEUED", "OLDEST WAIT")
	for _, key := range sortedKeys(sums) {
		q := sums[key]
		writeRow(w, q.Service, q.Rank, q.Queued, fmt.Sprintf("%.1fs", q.OldestWaitSeconds))
	}
}

// writeUnknownMembers writes one table for each member that this version does not
// know, with the rows of all daemons. A member may be a plain value, an object or a
// list of objects.
func (o *Overview) writeUnknownMembers(w io.Writer) {
	names := map[string]bool{}
	for _, r := range o.Daemons {
		if r.Status != nil {
			for name := range r.Status.More {
				names[name] = true
			}
		}
	}
	delete(names, "Daemons") // The table of daemons shows them.
	for _, name := range sortedKeys(names) {
		columns := map[string]bool{}
		var rows []unknownMemberRow
		for _, r := range o.Daemons {
			if r.Status == nil {
				continue
			}
			for _, cells := range memberRows(r.Status.More[name]) {
				rows = append(rows, unknownMemberRow{r.Daemon, cells})
				for column := range cells {
					columns[column] = true
				}
			}
		}
		if len(rows) == 0 {
			continue
		}
		writeUnknownMember(w, name, sortedKeys(columns), rows)
	}
}

// unknownMemberRow is one row of an unknown member.
type unknownMemberRow struct {
	daemon string
	cells  map[string]string
}

func writeUnknownMember(w io.Writer, name string, columns []string, rows []unknownMemberRow) {
	fmt.Fprintf(w, "\n%s\n", name)
	head := []any{"DAEMON"}
	for _, c := range columns {
		head = append(head, strings.ToUpper(c))
	}
	writeRow(w, head...)
	for _, r := range rows {
		cells := []any{r.daemon}
		for _, c := range columns {
			cells = append(cells, r.cells[c])
		}
		writeRow(w, cells...)
	}
}

// memberRows returns the rows of a member as cells by column.
func memberRows(value json.RawMessage) []map[string]string {
	value = bytes.TrimSpace(value)
	if len(value) == 0 || string(value) == "null" {
		return nil
	}
	var list []json.RawMessage
	if json.Unmarshal(value, &list) == nil {
		var rows []map[string]string
		for _, item := range list {
			rows = append(rows, memberCells(item))
		}
		return rows
	}
	return []map[string]string{memberCells(value)}
}

func memberCells(value json.RawMessage) map[string]string {
	var object map[string]json.RawMessage
	if json.Unmarshal(value, &object) != nil {
		return map[string]string{"value": cellText(value)}
	}
	cells := map[string]string{}
	for name, member := range object {
		cells[name] = cellText(member)
	}
	return cells
}

// cellText returns a string without its quotes and any other value as JSON.
func cellText(value json.RawMessage) string {
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
