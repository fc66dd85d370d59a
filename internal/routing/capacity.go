package routing

import (
	"slices"
	"time"
)

// Services returns the sorted names of the services that have servers.
func (t *Table) Services() []string {
	names := make([]string, 0, len(t.services))
	for name := range t.services {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// CountAccepting returns how many servers that a call may use accept new work.
func (r *Router) CountAccepting(t *Table, call *Call) int {
	n := 0
	for _, i := range t.services[call.Service] {
		if s := &t.servers[i]; s.Accepting && call.accepts(s) {
			n++
		}
	}
	return n
}

// FreeSlots estimates how many more requests the servers of a service can run at
// once. Fractions of a slot are rounded to the nearest number, because the load of
// other daemons is an estimate and rounding down would leave slots unused.
func (r *Router) FreeSlots(now time.Time, t *Table, service string) int {
	r.syncTable(t)
	free := 0
	for _, i := range t.services[service] {
		s, st := &t.servers[i], r.tableStates[i]
		if !s.Accepting || s.Suspect || st.reserved || !st.takesCalls(now) || !r.backlogWithinLimit(now, st) {
			continue
		}
		const half = 0.5
		free += max(0, int(min(st.slots-r.load(now, st)+half, st.bucket.available(now)+1-oneToken)))
	}
	return free
}

// Servers returns the servers of a service.
func (t *Table) Servers(service string) []Server {
	found := make([]Server, 0, len(t.services[service]))
	for _, i := range t.services[service] {
		found = append(found, t.servers[i])
	}
	return found
}
