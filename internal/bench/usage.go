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
	usageTrace  = time.Minute
	usageProbes = 8
	// usageLimit is chosen: the design has no bound on the age. With 380 daemons and
	// messages without loss the oldest sum is 12.5 s old.
	usageLimit = 15.0
	// usageBytes is the part of the budget that the sums may take.
	usageBytes = 6 << 10
)

// usageRun drives the trees of all daemons with 20 rows each on simulated time.
type usageRun struct {
	*simulation
	trees map[string]*usage.Tree
	ids   []string
	sent  map[string]float64
	// began is when each daemon started to serve.
	began time.Time
	// probed is the daemon that serves the tokens of the probes.
	probed *usage.Tree
	probe  string
}

// measureUsage measures the bytes and the age of the sums of usage.
func measureUsage(seed uint64) (Result, error) { return usageAt(seed, daemonSizes...), nil }

func usageAt(seed uint64, sizes ...int) Result {
	var r Result
	for _, n := range sizes {
		of := at(n, "daemons")
		u := newUsageRun(seed, n)
		u.run(u.now.Add(usageTrace))
		clear(u.sent)
		u.run(u.now.Add(usageTrace))
		mean, most := 0.0, 0.0
		for _, bytes := range u.sent {
			mean, most = mean+bytes/float64(n), max(most, bytes)
		}
		age, oldest := u.ages(seed)
		r.Figures = append(
			r.Figures, Figure{Name: "SentBytes", Policy: of, Value: mean / usageTrace.Seconds(), Unit: "bytes/s"},
			within("MostSentBytes", of, most/usageTrace.Seconds(), "bytes/s", usageBytes),
			Figure{Name: "Age", Policy: of, Value: age, Unit: "s"},
			within("OldestAge", of, oldest, "s", usageLimit),
		)
	}
	return r
}

func newUsageRun(seed uint64, n int) *usageRun {
	u := &usageRun{simulation: newSimulation(seed, standin.Faults{}), trees: map[string]*usage.Tree{}, sent: map[string]float64{}}
	daemons, random := fleetDaemons(n), rand.New(rand.NewPCG(seed, 7))
	u.began = u.now
	for _, d := range daemons {
		t := &usage.Tree{Self: d}
		t.Arrange(daemons, func(string) bool { return true })
		u.trees[d.ID], u.ids = t, append(u.ids, d.ID)
		var tick func()
		tick = func() {
			if t.Due(u.now) {
				t.Own(u.rows(t))
			}
			u.send(d.ID, t.Tick(u.now))
			u.after(100*time.Millisecond, tick)
		}
		u.after(time.Duration(random.Int64N(int64(2*time.Second))), tick)
	}
	return u
}

// rows are the counters of a daemon that serves one token of each key in a second.
func (u *usageRun) rows(t *usage.Tree) []admission.PeerUsage {
	var rows []admission.PeerUsage
	for _, row := range usageRows(0) {
		rows = append(rows, admission.PeerUsage{
			Organisation: row.Organisation, Rank: row.Rank, Service: row.Service, Requests: uint64(u.now.Sub(u.began).Seconds() * 10),
			Offered: u.now.Sub(u.began).Seconds(), Tokens: u.now.Sub(u.began).Seconds(),
		})
	}
	if t == u.probed {
		rows = append(rows, admission.PeerUsage{Organisation: u.probe, Rank: "reply", Service: "assistant", Tokens: 1})
	}
	return rows
}

func (u *usageRun) send(from string, out []usage.Out) {
	for _, o := range out {
		for _, to := range o.To {
			u.sent[from] += sized(message.KindUsage, o.Usage)
			delay := spreadNear
			if u.trees[from].Self.Region != u.trees[to].Self.Region {
				delay = spreadRegion
			}
			u.after(delay, func() { u.send(to, u.trees[to].Receive(u.now, from, o.Usage)) })
		}
	}
}

// ages returns the mean and the longest time until a daemon knows what another one
// did: probes by some daemons are followed until all have them.
func (u *usageRun) ages(seed uint64) (mean, oldest float64) {
	random := rand.New(rand.NewPCG(seed, 9))
	known := 0.0
	for probe := range usageProbes {
		source := u.trees[u.ids[random.IntN(len(u.ids))]]
		u.run(u.now.Add(time.Duration(random.Int64N(int64(5 * time.Second)))))
		u.probed, u.probe = source, fmt.Sprint("probe-", probe)
		key := usage.Key{Service: "assistant", Rank: "reply", Organisation: u.probe}
		seen, began := map[string]bool{}, u.now
		for len(seen) < len(u.ids) && u.now.Sub(began) < usageTrace {
			u.run(u.now.Add(100 * time.Millisecond))
			for _, id := range u.ids {
				sums, _ := u.trees[id].Region(source.Self.Region)
				if age := u.now.Sub(began).Seconds(); !seen[id] && sums[key].Tokens > 0 {
					seen[id] = true
					mean, known, oldest = mean+age, known+1, max(oldest, age)
				}
			}
		}
		if len(seen) < len(u.ids) {
			oldest = usageTrace.Seconds()
		}
	}
	return mean / max(1, known), oldest
}
