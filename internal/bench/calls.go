package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"apricotbridge/internal/entry"
	"apricotbridge/internal/keyvalue"
	"apricotbridge/internal/lease"
	"apricotbridge/internal/ledger"
	"apricotbridge/internal/standin"
)

const (
	dutyTrace = 5 * time.Minute
	dutyTick  = 100 * time.Millisecond
	// peakOrders is the rate of orders at which the ledger's write budget is used up.
	peakOrders = 600
)

// measureKeyValue counts the calls of all daemons a second to the key-value service
// by role. Duties and shards are run on simulated time; the other rates follow from
// the periods of the daemon.
func measureKeyValue(seed uint64) (Result, error) {
	var r Result
	registrations := registrationBytes()
	r.Figures = append(r.Figures, Figure{Name: "RegistrationRow", Policy: "listed", Value: registrations, Unit: "bytes"})
	poll, err := pollBytes()
	if err != nil {
		return r, err
	}
	r.Figures = append(r.Figures, Figure{Name: "ConfigurationPoll", Policy: "unchanged", Value: poll, Unit: "bytes"})
	heartbeats := heartbeatsOf(seed)
	perDay := float64(designChangesPerDay) / secondsPerDay
	for _, n := range daemonSizes {
		of := at(n, "daemons")
		near := (n + designPlaces - 1) / designPlaces
		p := entry.PeriodsOf(n, near, designServers, designConfigurationBytes)
		add := func(name string, value float64, unit string) float64 {
			r.Figures = append(r.Figures, Figure{Name: name, Policy: of, Value: value, Unit: unit})
			return value
		}
		duty := dutiesOf(seed, n)
		rate := func(count float64, each time.Duration) float64 { return count / each.Seconds() }
		writes := add("RenewalWrites", rate(float64(n), p.Renewal), "calls/s")
		writes += add("DutyWrites", duty.writes, "calls/s")
		writes += add("ShardWrites", heartbeats, "calls/s")
		writes += add("OrderWrites", ledgerBudget, "calls/s")
		writes += add("ReplacementWrites", 292*2/secondsPerDay, "calls/s")
		relays := float64(p.Relays * min(n, designPlaces))
		reads := add("RegistrationReads", rate(float64(n), p.Daemons), "calls/s")
		reads += add("ConfigurationPolls", rate(float64(n), p.Configuration), "calls/s")
		reads += add("ConfigurationWatches", relays, "waiting")
		reads += add("ConfigurationConfirmations", float64(n)*perDay, "calls/s")
		reads += add("DutyReads", duty.reads, "calls/s")
		reads += add("TailReads", rate(ledgerShards*float64(p.ShardCandidates-1), p.Tail), "calls/s")
		r.Figures = append(
			r.Figures, within("Writes", of, writes, "calls/s", keyValueWrites), within("Reads", of, reads, "calls/s", keyValueReads),
		)
		// What one daemon receives. A candidate for a shard reads a tail of up to 64 KB.
		tails := ledgerShards * float64(p.ShardCandidates-1) / float64(n) / p.Tail.Seconds() * ledger.DefaultSealBytes
		// A read that confirms a revision learned from peers finds nothing newer either.
		polls := poll * (1/p.Configuration.Seconds() + perDay)
		lists := float64(n) * registrations / p.Daemons.Seconds()
		add("RegistrationBytes", lists, "bytes/s")
		add("ConfigurationBytes", polls, "bytes/s")
		add("TailBytes", tails, "bytes/s")
		r.Figures = append(r.Figures, within("ReceivedBytes", of, lists+polls+tails, "bytes/s", controlBytesPerSecond))
	}
	return r, nil
}

// pollBytes counts the bytes on the connection for a read that finds no change of the
// configuration.
func pollBytes() (float64, error) {
	address, stop, err := serveLoopback(standin.NewKeyValue(1).Handler())
	if err != nil {
		return 0, err
	}
	defer stop()
	client, bytes := countedClient()
	defer client.CloseIdleConnections()
	c := &keyvalue.Client{Address: "http://" + address, HTTP: client, Timeout: time.Minute}
	for range 2 { // The second call has no connection to open.
		bytes.Store(0)
		if _, _, err := c.Since(context.Background(), entry.ConfigurationKey, 1); err != nil {
			return 0, errors.Annotate(err, "read changes")
		}
	}
	return float64(bytes.Load()), nil
}

// registrationBytes is the size of one registration in a list.
func registrationBytes() float64 {
	d := fleetDaemons(designDaemons)[designDaemons-1]
	value, _ := json.Marshal(entry.Registration{ // Strings and numbers can be encoded.
		Daemon: d.ID, Start: d.Start, Region: d.Region, Place: d.Place,
		CallerAddress: d.CallerAddress, PeerAddress: d.PeerAddress, OperatorAddress: "127.0.0.1:7003",
	})
	row, _ := json.Marshal(keyvalue.Entry{Key: "daemons/" + d.ID, Value: value, Revision: 123_456_789, Lease: "daemon-" + d.ID})
	return float64(len(row) + 1)
}

type dutyRates struct{ reads, writes float64 }

// dutiesOf runs the placement duty of two regions, for which all daemons of the
// region are candidates.
func dutiesOf(seed uint64, daemons int) dutyRates {
	s := newSimulation(seed, standin.Faults{})
	for i := range daemons {
		_, region := placeOf(i)
		d := lease.New(lease.Config{
			Name: "placement/" + region, Holder: fmt.Sprint("entry-", i), Incarnation: uint64(i), Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		var step func(ev lease.Event)
		step = func(ev lease.Event) {
			for _, a := range d.Step(s.now, ev) {
				switch a := a.(type) {
				case lease.Write:
					s.call(func() func() {
						e, err := s.store.CompareAndSwap(context.Background(), a.Key, a.Value, a.Revision, "")
						return func() { step(dutyWritten(a.ID, e, err)) }
					})
				case lease.Read:
					s.call(func() func() {
						e, _ := s.store.Get(context.Background(), a.Key) // A missing key is an entry with revision 0.
						return func() { step(lease.ReadBack{ID: a.ID, Entry: e}) }
					})
				}
			}
		}
		var tick func()
		tick = func() {
			step(lease.Tick{})
			s.after(dutyTick, tick)
		}
		s.after(time.Duration(i)*dutyTick/time.Duration(daemons), tick)
	}
	s.run(s.now.Add(time.Minute)) // The first claims.
	before := s.store.Counts()
	s.run(s.now.Add(dutyTrace))
	after := s.store.Counts()
	return dutyRates{
		reads:  float64(after.Reads-before.Reads) / dutyTrace.Seconds(),
		writes: float64(after.Writes-before.Writes) / dutyTrace.Seconds(),
	}
}

func dutyWritten(id uint64, e keyvalue.Entry, err error) lease.Event {
	if err == nil {
		return lease.Committed{ID: id, Revision: e.Revision}
	}
	if conflict, ok := err.(*keyvalue.ConflictError); ok { //nolint:errorlint // The stand-in returns it unwrapped.
		return lease.CommitConflict{ID: id, Current: conflict.Current}
	}
	return lease.CommitRefused{ID: id}
}

// heartbeatsOf returns the writes a second of 16 shards without orders.
func heartbeatsOf(seed uint64) float64 {
	r := &ledgerRun{simulation: newSimulation(seed, standin.Faults{})}
	r.sharded(ledger.DefaultSealBytes, 0, seed)
	r.run(r.now.Add(time.Minute))
	before := r.store.Counts().Writes
	r.run(r.now.Add(dutyTrace))
	return float64(r.store.Counts().Writes-before) / dutyTrace.Seconds()
}

// measureHolder measures the state of a ledger holder against the keys it keeps.
func measureHolder(seed uint64) (Result, error) {
	var r Result
	for _, keys := range []int{1000, 10_000, 40_000} {
		of := at(keys, "keys")
		var h *holderRun
		began := processorSeconds()
		memory := heapOf(func() *holderRun {
			h = holderWith(seed, keys)
			return h
		})
		spent := (processorSeconds() - began) / float64(keys) * 1e6
		stored := h.storedBytes()
		counts := h.store.Counts()
		r.Figures = append(
			r.Figures, Figure{Name: "StoredBytesPerKey", Policy: of, Value: stored / float64(keys), Unit: "bytes"},
			Figure{Name: "CallBytesPerOrder", Policy: of, Value: float64(counts.Bytes) / float64(keys), Unit: "bytes"},
			Figure{Name: "WritesPerOrder", Policy: of, Value: float64(counts.Writes) / float64(keys), Unit: "writes"},
			clocked("ProcessorTimePerOrder", of, spent, "us"),
			clocked("MemoryPerKey", of, (memory-stored)/float64(keys), "bytes"),
		)
	}
	return r, nil
}

// holderRun is a daemon that holds all 16 shards.
type holderRun struct {
	*ledgerRun
	submit func(key string)
}

// holderWith runs orders at the peak rate until the given number of keys is kept.
func holderWith(seed uint64, keys int) *holderRun {
	h := &holderRun{ledgerRun: &ledgerRun{simulation: newSimulation(seed, standin.Faults{})}}
	h.submit = h.sharded(ledger.DefaultSealBytes, 0, seed)
	h.run(h.now.Add(time.Second))
	for i := range keys {
		h.submit(fmt.Sprintf("8f14e45f-ceea-467f-a0e6-%012d", i))
		h.run(h.now.Add(time.Second / peakOrders))
	}
	h.run(h.now.Add(ledgerDrain))
	return h
}

func (h *holderRun) storedBytes() float64 {
	entries, _, _ := h.store.List(context.Background(), "") // The stand-in has no faults here.
	sum := 0.0
	for _, e := range entries {
		sum += float64(len(e.Value))
	}
	return sum
}
