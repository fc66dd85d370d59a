package routing

import "time"

const (
	// busyBacklogSeconds is the mean reading queued at the servers of a region from which on the region
	// is busy. In calm it is some hundredths of a second.
	busyBacklogSeconds = 0.1
	// busyPrefillWeight is added to prefillWeight in a busy region, where a second of reading delays
	// several prompts behind it.
	busyPrefillWeight = 4.0
	// negligibleReadSeconds of reading again do not matter in a busy region.
	negligibleReadSeconds = 0.05
)

// regionBusyness returns how busy the servers that a call may use in its region are with reading prompts:
// 0 for idle ones, and 1 from busyBacklogSeconds on.
func (r *Router) regionBusyness(now time.Time, call *Call, t *Table, servers []int) float64 {
	if !r.options.ReadOnceWhenBusy {
		return 0
	}
	queued, count := 0.0, 0
	for _, i := range servers {
		if s := &t.servers[i]; s.Accepting && s.Region == call.Region && call.accepts(s) {
			queued += r.backlogSeconds(now, r.tableStates[i])
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return min(queued/float64(count)/busyBacklogSeconds, 1)
}

// readsAgainWhenBusy reports whether a server would read more of the shared part of a prompt again than its home, in a
// busy region.
func (sc *scorer) readsAgainWhenBusy(i int, cached float64) bool {
	missing := regionHomeCachedShare*sharedTokens(sc.call.Parts) - cached
	return sc.busyness >= 1 && prefillSeconds(sc.table.servers[i].PrefillTokensPerSecond, missing) > negligibleReadSeconds
}

// Busyness returns how busy the region's servers are with reading prompts, as of the last decision: 0 to 1.
func (r *Router) Busyness() float64 { return r.busyness }
