// Package usage sums what all daemons served for each organisation. It has no
// sockets, no goroutines and no clock.
//
// The daemons of a place form a tree with a fan-out of four, ordered by rendezvous
// weight. Each passes the sum of its subtree to its parent; the roots of the places
// exchange the sums of their places and pass the sums of the regions down. A daemon
// thus handles the rows of one daemon and of the regions, however many daemons there
// are, where an exchange of the rows of all daemons grows with their number.
//
// Sums are counters that only rise. A receiver adds the difference to the last report
// of the same sender, so that lost and repeated reports do no harm, and the first
// report of a sender is the base for the next.
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
	// fanOut is the number of children. A place of 63 daemons has four levels.
	fanOut = 4
	// upPeriod is the time between reports to the parent, and rootPeriod between those
	// to other roots, of which there may be five.
	upPeriod   = 2 * time.Second
	rootPeriod = 4 * time.Second
	// downBytesPerSecond is what a daemon may pass down, and rowBytes the size of a
	// row. With rootPeriod a root stays under 6 KB/s.
	downBytesPerSecond = 3 << 10
	rowBytes           = 105
	// wholePeriod is the time after which rows that did not change are sent again,
	// since messages get lost when a queue is full.
	wholePeriod = 30 * time.Second
	// basePeriod is the time after which the own part of the sums is reckoned anew.
	basePeriod = 2 * time.Minute
	// childKept is how long a daemon that reported counts as a child.
	childKept = 10 * time.Second
)

// Key names a counter.
type Key struct{ Service, Rank, Organisation string }

// Count is a counter.
type Count struct {
	Requests        uint64
	Offered, Tokens float64
}

func (c Count) add(d Count) Count {
	return Count{c.Requests + d.Requests, c.Offered + d.Offered, c.Tokens + d.Tokens}
}

// since returns the difference to an earlier value; a lower one is that of a sender
// which started anew.
func (c Count) since(last Count) Count {
	if c.Requests < last.Requests || c.Tokens < last.Tokens || c.Offered < last.Offered {
		return c
	}
	return Count{c.Requests - last.Requests, c.Offered - last.Offered, c.Tokens - last.Tokens}
}

// Sums are counters by key.
type Sums map[Key]Count

// Out is a message to send.
type Out struct {
	To    []string
	Usage message.Usage
}

// reports are the last reports of one sender.
type reports struct {
	last map[string]Sums // By name of a region or a place, or empty.
	at   time.Time
}

// Tree is the part of one daemon in the sums. Self is set before the first call.
type Tree struct {
	Self membership.Daemon

	own   Sums
	below Sums            // Subtrees of the children.
	place map[string]Sums // Other places, at a root.
	total map[string]Sums // Regions.

	children map[string]*reports
	roots    map[string]*reports
	origin   string
	parent   string
	peers    []string // Roots of other places, at a root.
	down     *reports

	upAt, downAt, wholeAt, baseAt time.Time
	sentUp                        Sums
	sentDown                      map[string]Sums
	others                        map[string]Sums // What is charged, by region.
	given                         map[string]Sums // What Others returned last.
	offset                        Sums
	size                          map[string]int
}

func (t *Tree) init() {
	if t.own != nil {
		return
	}
	t.own, t.below, t.sentUp, t.offset = Sums{}, Sums{}, Sums{}, Sums{}
	t.place, t.total, t.sentDown, t.others, t.given = map[string]Sums{}, map[string]Sums{}, map[string]Sums{}, map[string]Sums{}, map[string]Sums{}
	t.children, t.roots, t.size = map[string]*reports{}, map[string]*reports{}, map[string]int{}
}

// Weight orders the daemons of a place: the one with the highest is its root.
func Weight(d membership.Daemon) uint64 { return xxhash.Sum64String(d.Place + "\x00" + d.ID) }

// Arrange chooses the parent from the live daemons and returns the daemons to which
// links are needed. The parent has a higher weight than the daemon, so that views
// which differ for a while make no cycle. reached tells whether a daemon answers.
func (t *Tree) Arrange(daemons []membership.Daemon, reached func(id string) bool) []membership.Daemon {
	t.init()
	byPlace := map[string][]membership.Daemon{}
	clear(t.size)
	for _, d := range daemons {
		t.size[d.Region]++
		if d.ID == t.Self.ID || !d.Draining && reached(d.ID) {
			byPlace[d.Place] = append(byPlace[d.Place], d)
		}
	}
	t.size[t.Self.Region]--
	weights := make(map[string]uint64, len(daemons))
	for _, d := range daemons {
		weights[d.ID] = Weight(d)
	}
	for _, list := range byPlace {
		slices.SortFunc(list, func(a, b membership.Daemon) int {
			return cmp.Or(cmp.Compare(weights[b.ID], weights[a.ID]), cmp.Compare(a.ID, b.ID))
		})
	}
	own := byPlace[t.Self.Place]
	at := slices.IndexFunc(own, func(d membership.Daemon) bool { return d.ID == t.Self.ID })
	parent := ""
	var links []membership.Daemon
	t.peers = t.peers[:0]
	if at > 0 {
		parent = own[(at-1)/fanOut].ID
		links = append(links, own[(at-1)/fanOut])
	} else {
		for place, list := range byPlace {
			if place != t.Self.Place {
				t.peers = append(t.peers, list[0].ID)
				links = append(links, list[0])
			}
		}
		slices.Sort(t.peers)
	}
	if parent != t.parent {
		t.parent, t.down, t.sentUp = parent, nil, Sums{}
	}
	return links
}

// Own sets the counters of this daemon.
func (t *Tree) Own(rows []admission.PeerUsage) {
	t.init()
	for _, u := range rows {
		t.own[Key{u.Service, u.Rank, u.Organisation}] = Count{u.Requests, u.Offered, u.Tokens}
	}
}

// Receive takes a report and returns what is passed on.
func (t *Tree) Receive(now time.Time, from string, u message.Usage) []Out {
	t.init()
	switch u.Scope {
	case message.UsageScopeSubtree:
		take(now, t.children, from, u, func(_ string, k Key, d Count) { t.below[k] = t.below[k].add(d) })
	case message.UsageScopePlace:
		take(now, t.roots, from, u, func(place string, k Key, d Count) { grow(t.place, place, k, d) })
	case message.UsageScopeRegion:
		if from != t.parent {
			return nil
		}
		t.takeRegion(now, u)
		if to := t.live(now); len(to) > 0 {
			return []Out{{To: to, Usage: u}}
		}
	}
	return nil
}

func grow(sums map[string]Sums, name string, k Key, d Count) {
	if sums[name] == nil {
		sums[name] = Sums{}
	}
	sums[name][k] = sums[name][k].add(d)
}

// take hands the differences to the last report of a sender to add. The first report
// is the base.
func take(now time.Time, senders map[string]*reports, from string, u message.Usage, add func(string, Key, Count)) {
	if senders[from] == nil {
		senders[from] = &reports{last: map[string]Sums{}}
	}
	senders[from].take(now, u, add)
}

func (r *reports) take(now time.Time, u message.Usage, add func(string, Key, Count)) {
	r.at = now
	last, known := r.last[u.Name]
	if !known {
		last = Sums{}
		r.last[u.Name] = last
	}
	for _, row := range u.Counts {
		k, c := Key{row.Service, row.Rank, row.Organisation}, Count{row.Requests, row.Offered, row.Tokens}
		d := c.since(last[k])
		if !known {
			d = Count{}
		}
		last[k] = c
		add(u.Name, k, d)
	}
}

// takeRegion takes the sums of a region that a root made. Those of another root have
// another base.
func (t *Tree) takeRegion(now time.Time, u message.Usage) {
	if t.down == nil || t.origin != u.Origin {
		t.down, t.origin = &reports{last: map[string]Sums{}}, u.Origin
	}
	_, known := t.down.last[u.Name]
	t.down.take(now, u, func(region string, k Key, d Count) { grow(t.total, region, k, d) })
	t.charge(!known || now.Sub(t.baseAt) >= basePeriod, now)
}

// charge derives what the other daemons did from the sums of the regions. Those of
// the own region contain an older state of the own counters; the difference is kept
// from falling. rebase reckons the own part anew.
func (t *Tree) charge(rebase bool, now time.Time) {
	for region, sums := range t.total {
		if t.others[region] == nil {
			t.others[region] = Sums{}
		}
		for k, total := range sums {
			if region != t.Self.Region {
				t.others[region][k] = total
				continue
			}
			own, had := t.own[k], t.others[region][k]
			raw := Count{total.Requests - own.Requests, total.Offered - own.Offered, total.Tokens - own.Tokens}
			if rebase {
				// Wraps around for counts of requests, as the sum below does.
				t.offset[k] = Count{had.Requests - raw.Requests, had.Offered - raw.Offered, had.Tokens - raw.Tokens}
			}
			sum := raw.add(t.offset[k])
			if int64(sum.Requests-had.Requests) < 0 {
				sum.Requests = had.Requests
			}
			t.others[region][k] = Count{sum.Requests, max(sum.Offered, had.Offered), max(sum.Tokens, had.Tokens)}
		}
	}
	if rebase {
		t.baseAt = now
	}
}

// live returns the children that reported of late.
func (t *Tree) live(now time.Time) []string {
	var ids []string
	for id, r := range t.children {
		if now.Sub(r.at) <= childKept {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Tick returns the reports that are due. It is called about every 100 ms.
func (t *Tree) Tick(now time.Time) []Out {
	t.init()
	if now.Sub(t.wholeAt) >= wholePeriod {
		t.wholeAt, t.sentUp, t.sentDown = now, Sums{}, map[string]Sums{}
	}
	for _, senders := range []map[string]*reports{t.children, t.roots} {
		for id, r := range senders {
			if now.Sub(r.at) > basePeriod {
				delete(senders, id)
			}
		}
	}
	var out []Out
	if t.Due(now) {
		t.upAt = now
		if o, ok := t.up(); ok {
			out = append(out, o)
		}
	}
	if t.parent != "" {
		return out
	}
	rows := 0
	for _, sums := range t.total {
		rows += len(sums)
	}
	to := t.live(now)
	if now.Sub(t.downAt) < max(upPeriod, DownPeriod(rows, len(to))) {
		return out
	}
	t.downAt = now
	for region, sums := range t.regions() {
		u := message.Usage{Scope: message.UsageScopeRegion, Origin: t.Self.ID, Name: region}
		u.Counts = rowsOf(sums, Sums{})
		t.takeRegion(now, u)
		if t.sentDown[region] == nil {
			t.sentDown[region] = Sums{}
		}
		if u.Counts = rowsOf(sums, t.sentDown[region]); len(to) > 0 && len(u.Counts) > 0 {
			out = append(out, Out{To: to, Usage: u})
		}
	}
	return out
}

// rowsOf returns the rows that differ from those in sent, and notes them there.
func rowsOf(sums, sent Sums) []message.UsageCount {
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

// DownPeriod is the time between reports of a root to its children.
func DownPeriod(rows, children int) time.Duration {
	return time.Duration(rows*children*rowBytes) * time.Second / downBytesPerSecond
}

// up returns the sum of the subtree for the parent, or for the other roots. One
// without rows says that the daemon is a child.
func (t *Tree) up() (Out, bool) {
	o := Out{To: []string{t.parent}, Usage: message.Usage{Scope: message.UsageScopeSubtree}}
	if t.parent == "" {
		o.To = slices.Clone(t.peers)
		o.Usage.Scope, o.Usage.Name = message.UsageScopePlace, t.Self.Region+"/"+t.Self.Place
	}
	if len(o.To) == 0 {
		return o, false
	}
	o.Usage.Counts = rowsOf(t.subtree(), t.sentUp)
	return o, true
}

func (t *Tree) subtree() Sums {
	sums := make(Sums, len(t.own))
	for _, part := range []Sums{t.own, t.below} {
		for k, c := range part {
			sums[k] = sums[k].add(c)
		}
	}
	return sums
}

// regions returns the sums of the regions as a root knows them.
func (t *Tree) regions() map[string]Sums {
	sums := map[string]Sums{t.Self.Region: t.subtree()}
	for place, part := range t.place {
		region, _, _ := strings.Cut(place, "/")
		for k, c := range part {
			grow(sums, region, k, c)
		}
	}
	return sums
}

// Others returns what the other daemons did, by region, where it changed since the
// last call. A region that is not heard is thus left out, and admission sees its age.
func (t *Tree) Others(now time.Time) []admission.PeerUsage {
	var rows []admission.PeerUsage
	for region, sums := range t.others {
		for k, c := range sums {
			if last, ok := t.given[region][k]; ok && last == c || t.size[region] < 1 {
				continue
			}
			if t.given[region] == nil {
				t.given[region] = Sums{}
			}
			t.given[region][k] = c
			rows = append(rows, admission.PeerUsage{
				Daemon: "region " + region, Daemons: t.size[region], Service: k.Service, Rank: k.Rank, Organisation: k.Organisation,
				Sequence: now.UnixNano(), Requests: c.Requests, Offered: c.Offered, Tokens: c.Tokens,
			})
		}
	}
	return rows
}

// Region returns the sums of a region, this daemon included, and when they changed.
func (t *Tree) Region(name string) (Sums, time.Time) {
	if t.down == nil {
		return nil, time.Time{}
	}
	return t.total[name], t.down.at
}

// Due tells whether Tick will send reports, which need the own counters.
func (t *Tree) Due(now time.Time) bool {
	if t.parent == "" {
		return now.Sub(t.upAt) >= rootPeriod
	}
	return now.Sub(t.upAt) >= upPeriod
}
