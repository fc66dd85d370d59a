// Package usage aggregates the usage of all daemons by organisation. It has no sockets,
// no goroutines and no clock.
//
// The daemons of a place form a tree with a fan-out of four, ordered by rendezvous
// weight. Each daemon sends the sum of its subtree to its parent. The roots of the
// places exchange the sums of their places and send the sums of the regions down their
// trees. The load of a daemon thus does not grow with the number of daemons, as it
// would if all daemons exchanged their rows.
//
// Counters only rise. A receiver adds the difference to the previous report of the same
// sender, so that lost and repeated reports do no harm. The first report of a sender is
// only the base for the next one.
package usage

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/membership"
	"apricotbridge/internal/message"
)

const (
	// fanOut is the largest number of children of a daemon. A place of 63 daemons has
	// four levels.
	fanOut = 4
	// parentReportPeriod is the time between reports to the parent, rootReportPeriod
	// between reports to the other roots, of which there may be five.
	parentReportPeriod = 2 * time.Second
	rootReportPeriod   = 4 * time.Second
	// maxDownBytesPerSecond limits what a root sends to its children, and rowBytes is
	// the size of a row. With rootReportPeriod a root stays under 6 KB/s.
	maxDownBytesPerSecond = 3 << 10
	rowBytes              = 105
	// fullReportPeriod is the time after which unchanged rows are sent again, since
	// messages get lost when a queue is full.
	fullReportPeriod = 30 * time.Second
	// rebasePeriod is the time after which the offset of the own region is recomputed
	// and silent senders are removed.
	rebasePeriod = 2 * time.Minute
	// childTimeout is the time after its last report for which a daemon counts as a
	// child.
	childTimeout = 10 * time.Second
)

// Key identifies a counter.
type Key struct{ Service, Rank, Organisation string }

// Count is the usage under one key.
type Count struct {
	Requests        uint64
	Offered, Tokens float64
}

func (c Count) add(other Count) Count {
	return Count{c.Requests + other.Requests, c.Offered + other.Offered, c.Tokens + other.Tokens}
}

// difference returns the increase since an earlier value. A value lower than the
// earlier one comes from a sender that restarted, and is counted in full.
func (c Count) difference(earlier Count) Count {
	if c.Requests < earlier.Requests || c.Tokens < earlier.Tokens || c.Offered < earlier.Offered {
		return c
	}
	return Count{c.Requests - earlier.Requests, c.Offered - earlier.Offered, c.Tokens - earlier.Tokens}
}

// Sums are counters by key.
type Sums map[Key]Count

// Report is a usage report and its recipients.
type Report struct {
	To    []string
	Usage message.Usage
}

// senderReports holds the last reports of one sender.
type senderReports struct {
	last   map[string]Sums // By region or place; the name is empty for a subtree.
	lastAt time.Time
}

// Tree is the state of one daemon in the aggregation. Self is set before the first
// call.
type Tree struct {
	Self membership.Daemon

	ownSums      Sums
	descendants  Sums            // Sum of the subtrees of the children.
	otherPlaces  map[string]Sums // By place; set only at a root.
	regionTotals map[string]Sums // By region.

	childReports  map[string]*senderReports
	rootReports   map[string]*senderReports
	regionOrigin  string         // Root that computed the sums in regionReports.
	parent        string         // Empty at a root.
	otherRoots    []string       // Set only at a root.
	regionReports *senderReports // From the parent, or computed by this root.

	parentReportAt, childReportAt, fullReportAt, rebasedAt time.Time

	sentToParent     Sums
	sentToChildren   map[string]Sums
	otherDaemons     map[string]Sums // Usage of the other daemons, by region.
	returned         map[string]Sums // Last result of Others, by region.
	ownRegionOffset  Sums            // See updateOtherDaemons.
	otherDaemonCount map[string]int  // By region.
}

func (t *Tree) init() {
	if t.ownSums != nil {
		return
	}
	t.ownSums, t.descendants, t.sentToParent, t.ownRegionOffset = Sums{}, Sums{}, Sums{}, Sums{}
	t.otherPlaces, t.regionTotals, t.sentToChildren, t.otherDaemons, t.returned = map[string]Sums{}, map[string]Sums{}, map[string]Sums{}, map[string]Sums{}, map[string]Sums{}
	t.childReports, t.rootReports, t.otherDaemonCount = map[string]*senderReports{}, map[string]*senderReports{}, map[string]int{}
}

// Weight orders the daemons of a place: the daemon with the highest weight is the root.
func Weight(d membership.Daemon) uint64 { return xxhash.Sum64String(d.Place + "\x00" + d.ID) }

// Arrange chooses the parent from the live daemons and returns the daemons to which
// links are needed. The parent has a higher weight than this daemon, so that
// temporarily different views form no cycle. reachable reports whether a daemon
// answers.
func (t *Tree) Arrange(daemons []membership.Daemon, reachable func(id string) bool) []membership.Daemon {
	t.init()
	byPlace := map[string][]membership.Daemon{}
	clear(t.otherDaemonCount)
	for _, d := range daemons {
		t.otherDaemonCount[d.Region]++
		if d.ID == t.Self.ID || !d.Draining && reachable(d.ID) {
			byPlace[d.Place] = append(byPlace[d.Place], d)
		}
	}
	t.otherDaemonCount[t.Self.Region]--
	weights := make(map[string]uint64, len(daemons))
	for _, d := range daemons {
		weights[d.ID] = Weight(d)
	}
	for _, list := range byPlace {
		slices.SortFunc(list, func(a, b membership.Daemon) int {
			return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
		})
	}
	ownPlace := byPlace[t.Self.Place]
	position := slices.IndexFunc(ownPlace, func(d membership.Daemon) bool { return d.ID == t.Self.ID })
	parent := ""
	var links []membership.Daemon
	t.otherRoots = t.otherRoots[:0]
	if position > 0 {
		parent = ownPlace[(position-1)/fanOut].ID
		links = append(links, ownPlace[(position-1)/fanOut])
	} else {
		for place, list := range byPlace {
			if place != t.Self.Place {
				t.otherRoots = append(t.otherRoots, list[0].ID)
				links = append(links, list[0])
			}
		}
		slices.Sort(t.otherRoots)
	}
	if parent != t.parent {
		t.parent, t.regionReports, t.sentToParent = parent, nil, Sums{}
	}
	return links
}

// SetOwnCounters sets the counters of this daemon.
func (t *Tree) SetOwnCounters(rows []admission.PeerUsage) {
	t.init()
	for _, u := range rows {
		t.ownSums[Key{u.Service, u.Rank, u.Organisation}] = Count{u.Requests, u.Offered, u.Tokens}
	}
}

// Receive applies a report of another daemon and returns the reports to forward.
func (t *Tree) Receive(now time.Time, from string, u message.Usage) []Report {
	t.init()
	switch u.Scope {
	case message.UsageScopeSubtree:
		applyReport(now, t.childReports, from, u, func(_ string, k Key, d Count) { t.descendants[k] = t.descendants[k].add(d) })
	case message.UsageScopePlace:
		applyReport(now, t.rootReports, from, u, func(place string, k Key, d Count) { addCount(t.otherPlaces, place, k, d) })
	case message.UsageScopeRegion:
		if from != t.parent {
			return nil
		}
		t.receiveRegion(now, u)
		if children := t.activeChildren(now); len(children) > 0 {
			return []Report{{To: children, Usage: u}}
		}
	}
	return nil
}

func addCount(sums map[string]Sums, name string, k Key, d Count) {
	if sums[name] == nil {
		sums[name] = Sums{}
	}
	sums[name][k] = sums[name][k].add(d)
}

// applyReport calls add with the difference between a report and the previous report of
// its sender. The first report is only the base.
func applyReport(now time.Time, senders map[string]*senderReports, from string, u message.Usage, add func(string, Key, Count)) {
	if senders[from] == nil {
		senders[from] = &senderReports{last: map[string]Sums{}}
	}
	senders[from].apply(now, u, add)
}

func (r *senderReports) apply(now time.Time, u message.Usage, add func(string, Key, Count)) {
	r.lastAt = now
	last, seenBefore := r.last[u.Name]
	if !seenBefore {
		last = Sums{}
		r.last[u.Name] = last
	}
	for _, row := range u.Counts {
		k, c := Key{row.Service, row.Rank, row.Organisation}, Count{row.Requests, row.Offered, row.Tokens}
		difference := c.difference(last[k])
		if !seenBefore {
			difference = Count{}
		}
		last[k] = c
		add(u.Name, k, difference)
	}
}

// receiveRegion applies the sums of a region computed by a root. Sums of another root
// have another base.
func (t *Tree) receiveRegion(now time.Time, u message.Usage) {
	if t.regionReports == nil || t.regionOrigin != u.Origin {
		t.regionReports, t.regionOrigin = &senderReports{last: map[string]Sums{}}, u.Origin
	}
	_, seenBefore := t.regionReports.last[u.Name]
	t.regionReports.apply(now, u, func(region string, k Key, d Count) { addCount(t.regionTotals, region, k, d) })
	t.updateOtherDaemons(!seenBefore || now.Sub(t.rebasedAt) >= rebasePeriod, now)
}

// updateOtherDaemons derives the usage of the other daemons from the sums of the
// regions. The sum of the own region contains an older value of the own counters, so
// the difference may fall; it is kept from falling. rebase recomputes the offset so
// that the difference continues from its previous value.
func (t *Tree) updateOtherDaemons(rebase bool, now time.Time) {
	for region, sums := range t.regionTotals {
		if t.otherDaemons[region] == nil {
			t.otherDaemons[region] = Sums{}
		}
		for k, total := range sums {
			if region != t.Self.Region {
				t.otherDaemons[region][k] = total
				continue
			}
			own, previous := t.ownSums[k], t.otherDaemons[region][k]
			others := Count{total.Requests - own.Requests, total.Offered - own.Offered, total.Tokens - own.Tokens}
			if rebase {
				// The subtraction of request counts may wrap around. The addition below
				// wraps back.
				t.ownRegionOffset[k] = Count{previous.Requests - others.Requests, previous.Offered - others.Offered, previous.Tokens - others.Tokens}
			}
			sum := others.add(t.ownRegionOffset[k])
			if int64(sum.Requests-previous.Requests) < 0 {
				sum.Requests = previous.Requests
			}
			t.otherDaemons[region][k] = Count{sum.Requests, max(sum.Offered, previous.Offered), max(sum.Tokens, previous.Tokens)}
		}
	}
	if rebase {
		t.rebasedAt = now
	}
}

// activeChildren returns the children that reported within childTimeout.
func (t *Tree) activeChildren(now time.Time) []string {
	var ids []string
	for id, r := range t.childReports {
		if now.Sub(r.lastAt) <= childTimeout {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick returns the reports that are due. It is called about every 100 ms.
func (t *Tree) Tick(now time.Time) []Report {
	t.init()
	if now.Sub(t.fullReportAt) >= fullReportPeriod {
		t.fullReportAt, t.sentToParent, t.sentToChildren = now, Sums{}, map[string]Sums{}
	}
	for _, senders := range []map[string]*senderReports{t.childReports, t.rootReports} {
		for id, r := range senders {
			if now.Sub(r.lastAt) > rebasePeriod {
				delete(senders, id)
			}
		}
	}
	var reports []Report
	if t.ReportDue(now) {
		t.parentReportAt = now
		if report, ok := t.parentReport(); ok {
			reports = append(reports, report)
		}
	}
	if t.parent != "" {
		return reports
	}
	rows := 0
	for _, sums := range t.regionTotals {
		rows += len(sums)
	}
	children := t.activeChildren(now)
	if now.Sub(t.childReportAt) < max(parentReportPeriod, ChildReportPeriod(rows, len(children))) {
		return reports
	}
	t.childReportAt = now
	for region, sums := range t.regionSums() {
		u := message.Usage{Scope: message.UsageScopeRegion, Origin: t.Self.ID, Name: region}
		u.Counts = changedRows(sums, Sums{})
		t.receiveRegion(now, u)
		if t.sentToChildren[region] == nil {
			t.sentToChildren[region] = Sums{}
		}
		if u.Counts = changedRows(sums, t.sentToChildren[region]); len(children) > 0 && len(u.Counts) > 0 {
			reports = append(reports, Report{To: children, Usage: u})
		}
	}
	return reports
}

// changedRows returns the rows that differ from those in sent and records them there.
func changedRows(sums, sent Sums) []message.UsageCount {
	rows := []message.UsageCount{}
	for k, c := range sums {
		if last, ok := sent[k]; ok && last == c {
			continue
		}
		sent[k] = c
		rows = append(rows, message.UsageCount{
			Service: k.Service, Rank: k.Rank, Organisation: k.Organisation, Requests: c.Requests, Offered: c.Offered, Tokens: c.Tokens,
		})
	}
	return rows
}

// ChildReportPeriod is the time between reports of a root to its children, given the
// numbers of rows and children.
func ChildReportPeriod(rows, children int) time.Duration {
	return time.Duration(rows*children*rowBytes) * time.Second / maxDownBytesPerSecond
}

// parentReport returns the sum of the subtree for the parent or, at a root, for the
// other roots. A report without rows still registers the daemon as a child.
func (t *Tree) parentReport() (Report, bool) {
	report := Report{To: []string{t.parent}, Usage: message.Usage{Scope: message.UsageScopeSubtree}}
	if t.parent == "" {
		report.To = slices.Clone(t.otherRoots)
		report.Usage.Scope, report.Usage.Name = message.UsageScopePlace, t.Self.Region+"/"+t.Self.Place
	}
	if len(report.To) == 0 {
		return report, false
	}
	report.Usage.Counts = changedRows(t.subtree(), t.sentToParent)
	return report, true
}

func (t *Tree) subtree() Sums {
	sums := make(Sums, len(t.ownSums))
	for _, part := range []Sums{t.ownSums, t.descendants} {
		for k, c := range part {
			sums[k] = sums[k].add(c)
		}
	}
	return sums
}

// regionSums returns the sums of the regions known to a root.
func (t *Tree) regionSums() map[string]Sums {
	sums := map[string]Sums{t.Self.Region: t.subtree()}
	for place, part := range t.otherPlaces {
		region, _, _ := strings.Cut(place, "/")
		for k, c := range part {
			addCount(sums, region, k, c)
		}
	}
	return sums
}

// Others returns the usage of the other daemons by region, limited to counters that
// changed since the last call. Admission thus sees the age of the counters of a region
// that is silent.
func (t *Tree) Others(now time.Time) []admission.PeerUsage {
	var rows []admission.PeerUsage
	for region, sums := range t.otherDaemons {
		for k, c := range sums {
			if last, ok := t.returned[region][k]; ok && last == c || t.otherDaemonCount[region] < 1 {
				continue
			}
			if t.returned[region] == nil {
				t.returned[region] = Sums{}
			}
			t.returned[region][k] = c
			rows = append(rows, admission.PeerUsage{
				Daemon: "region " + region, Daemons: t.otherDaemonCount[region], Service: k.Service, Rank: k.Rank, Organisation: k.Organisation,
				Sequence: now.UnixNano(), Requests: c.Requests, Offered: c.Offered, Tokens: c.Tokens,
			})
		}
	}
	return rows
}

// Region returns the sums of a region, including this daemon, and the time of the last
// report.
func (t *Tree) Region(name string) (Sums, time.Time) {
	if t.regionReports == nil {
		return nil, time.Time{}
	}
	return t.regionTotals[name], t.regionReports.lastAt
}

// ReportDue reports whether Tick will send a report to the parent or the other roots.
// SetOwnCounters must be called before that Tick.
func (t *Tree) ReportDue(now time.Time) bool {
	if t.parent == "" {
		return now.Sub(t.parentReportAt) >= rootReportPeriod
	}
	return now.Sub(t.parentReportAt) >= parentReportPeriod
}
