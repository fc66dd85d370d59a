package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"apricotbridge/internal/admission"
	"apricotbridge/internal/message"
	"apricotbridge/internal/standin"
	"apricotbridge/internal/usage"
)

const (
	usageDuration = time.Minute
	usageProbes   = 8
	// maxUsageAgeSeconds bounds the age of usage sums, for which the design has no limit.
	// With 380 daemons and no message loss the oldest sum is 12.5 s old.
	maxUsageAgeSeconds = 15.0
	// maxUsageBytesPerSecond is the part of the control budget for usage sums.
	maxUsageBytesPerSecond = 6 << 10
)

// usageRun drives the usage trees of all daemons, with 20 rows each, on simulated time.
type usageRun struct {
	*simulation
	trees     map[string]*usage.Tree
	ids       []string
	sentBytes map[string]float64
	// startTime is when all daemons started to serve.
	startTime time.Time
	// probeTree belongs to the daemon that serves the tokens of probeOrganisation.
	probeTree         *usage.Tree
	probeOrganisation string
}

// measureUsage measures the bytes and the age of usage sums.
func measureUsage(seed uint64) (Result, error) { return usageOfSizes(seed, daemonSizes...), nil }

func usageOfSizes(seed uint64, sizes ...int) Result {
	var r Result
	for _, n := range sizes {
		size := sizeLabel(n, "daemons")
		u := newUsageRun(seed, n)
		u.run(u.now.Add(usageDuration))
		clear(u.sentBytes)
		u.run(u.now.Add(usageDuration))
		mean, highest := 0.0, 0.0
		for _, bytes := range u.sentBytes {
			mean, highest = mean+bytes/float64(n), max(highest, bytes)
		}
		age, oldest := u.measureAges(seed)
		r.Figures = append(
			r.Figures, Figure{Name: "SentBytes", Policy: size, Value: mean / usageDuration.Seconds(), Unit: "bytes/s"},
			boundedFigure("MostSentBytes", size, highest/usageDuration.Seconds(), "bytes/s", maxUsageBytesPerSecond),
			Figure{Name: "Age", Policy: size, Value: age, Unit: "s"},
			boundedFigure("OldestAge", size, oldest, "s", maxUsageAgeSeconds),
		)
	}
	return r
}

func newUsageRun(seed uint64, n int) *usageRun {
	u := &usageRun{simulation: newSimulation(seed, standin.KeyValueFaults{}), trees: map[string]*usage.Tree{}, sentBytes: map[string]float64{}}
	daemons, random := fleetDaemons(n), rand.New(rand.NewPCG(seed, 7))
	u.startTime = u.now
	for _, d := range daemons {
		t := &usage.Tree{Self: d}
		t.Arrange(daemons, func(string) bool { return true })
		u.trees[d.ID], u.ids = t, append(u.ids, d.ID)
		var tick func()
		tick = func() {
			if t.ReportDue(u.now) {
				t.SetOwnCounters(u.rows(t))
			}
			u.send(d.ID, t.Tick(u.now))
			u.after(100*time.Millisecond, tick)
		}
		u.after(time.Duration(random.Int64N(int64(2*time.Second))), tick)
	}
	return u
}

// rows returns the counters of a daemon that serves one token per second for each key.
func (u *usageRun) rows(t *usage.Tree) []admission.PeerUsage {
	var rows []admission.PeerUsage
	for _, row := range usageRows(0) {
		rows = append(rows, admission.PeerUsage{
			Organisation: row.Organisation, Rank: row.Rank, Service: row.Service, Requests: uint64(u.now.Sub(u.startTime).Seconds() * 10),
			Offered: u.now.Sub(u.startTime).Seconds(), Tokens: u.now.Sub(u.startTime).Seconds(),
		})
	}
	if t == u.probeTree {
		rows = append(rows, admission.PeerUsage{Organisation: u.probeOrganisation, Rank: "reply", Service: "assistant", Tokens: 1})
	}
	return rows
}

func (u *usageRun) send(from string, messages []usage.Report) {
	for _, o := range messages {
		for _, to := range o.To {
			u.sentBytes[from] += encodedSize(message.KindUsage, o.Usage)
			delay := delayWithinRegion
			if u.trees[from].Self.Region != u.trees[to].Self.Region {
				delay = delayBetweenRegions
			}
			u.after(delay, func() { u.send(to, u.trees[to].Receive(u.now, from, o.Usage)) })
		}
	}
}

// measureAges returns the mean and the longest time until usage at one daemon is visible at
// the others. It follows probes from several daemons until all daemons have received them.
func (u *usageRun) measureAges(seed uint64) (mean, oldest float64) {
	random := rand.New(rand.NewPCG(seed, 9))
	samples := 0.0
	for probe := range usageProbes {
		source := u.trees[u.ids[random.IntN(len(u.ids))]]
		u.run(u.now.Add(time.Duration(random.Int64N(int64(5 * time.Second)))))
		u.probeTree, u.probeOrganisation = source, fmt.Sprint("probe-", probe)
		key := usage.Key{Service: "assistant", Rank: "reply", Organisation: u.probeOrganisation}
		received, start := map[string]bool{}, u.now
		for len(received) < len(u.ids) && u.now.Sub(start) < usageDuration {
			u.run(u.now.Add(100 * time.Millisecond))
			for _, id := range u.ids {
				sums, _ := u.trees[id].Region(source.Self.Region)
				if age := u.now.Sub(start).Seconds(); !received[id] && sums[key].Tokens > 0 {
					received[id] = true
					mean, samples, oldest = mean+age, samples+1, max(oldest, age)
				}
			}
		}
		if len(received) < len(u.ids) {
			oldest = usageDuration.Seconds()
		}
	}
	return mean / max(1, samples), oldest
}
