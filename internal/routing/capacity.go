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

// CountAccepting returns how many servers of a service accept new work.
func (r *Router) CountAccepting(t *Table, service string) int {
	n := 0
	for _, i := range t.services[service] {
		if t.servers[i].Accepting {
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
		if !s.Accepting || s.Suspect || st.reserved || now.Before(st.pausedUntil) || !r.backlogWithinLimit(now, st) {
			continue
		}
		const half = 0.5
		free += max(0, int(st.slots-r.load(now, st)+half))
	}
	return free
}

// Pause excludes one incarnation of a server from new calls until a time. A pause in force is
// not shortened.
func (r *Router) Pause(until time.Time, server string, incarnation int64) {
	if st := r.states[server]; st != nil && st.incarnation == incarnation && until.After(st.pausedUntil) {
		st.pausedUntil = until
	}
}

// AllPausedUntil returns the earliest end of the pauses of the accepting servers of a service.
// ok means that there are such servers and all of them are paused.
func (r *Router) AllPausedUntil(now time.Time, t *Table, service string) (until time.Time, ok bool) {
	r.syncTable(t)
	for _, i := range t.services[service] {
		st := r.tableStates[i]
		switch {
		case !t.servers[i].Accepting:
		case !now.Before(st.pausedUntil):
			return time.Time{}, false
		case until.IsZero() || st.pausedUntil.Before(until):
			until = st.pausedUntil
		}
	}
	return until, !until.IsZero()
}

// Servers returns the servers of a service.
func (t *Table) Servers(service string) []Server {
	found := make([]Server, 0, len(t.services[service]))
	for _, i := range t.services[service] {
		found = append(found, t.servers[i])
	}
	return found
}
