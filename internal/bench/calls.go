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
	// dutyDuration is the measured time of leases and heartbeats.
	dutyDuration     = 5 * time.Minute
	dutyTickInterval = 100 * time.Millisecond
	// peakOrdersPerSecond is the order rate that uses the ledger's whole write budget.
	peakOrdersPerSecond = 600
)

// measureKeyValue measures the rate of calls from all daemons to the key-value service by
// purpose. Leases of the placement duty and heartbeats of ledger shards are simulated; the
// other rates follow from the periods of the daemon.
func measureKeyValue(seed uint64) (Result, error) {
	var r Result
	registrationSize := registrationBytes()
	r.Figures = append(r.Figures, Figure{Name: "RegistrationRow", Policy: "listed", Value: registrationSize, Unit: "bytes"})
	pollSize, err := configurationPollBytes()
	if err != nil {
		return r, err
	}
	r.Figures = append(r.Figures, Figure{Name: "ConfigurationPoll", Policy: "unchanged", Value: pollSize, Unit: "bytes"})
	heartbeats := simulateHeartbeats(seed)
	changesPerSecond := float64(designChangesPerDay) / secondsPerDay
	for _, n := range daemonSizes {
		size := sizeLabel(n, "daemons")
		daemonsPerPlace := (n + designPlaces - 1) / designPlaces
		periods := entry.PeriodsOf(n, daemonsPerPlace, designServers, designConfigurationBytes)
		add := func(name string, value float64, unit string) float64 {
			r.Figures = append(r.Figures, Figure{Name: name, Policy: size, Value: value, Unit: unit})
			return value
		}
		duties := simulateDuties(seed, n)
		rate := func(count float64, interval time.Duration) float64 { return count / interval.Seconds() }
		writes := add("RenewalWrites", rate(float64(n), periods.Renewal), "calls/s")
		writes += add("DutyWrites", duties.writes, "calls/s")
		writes += add("ShardWrites", heartbeats, "calls/s")
		writes += add("OrderWrites", ledgerWriteBudget, "calls/s")
		// 12 failures and 280 replacements a day with two writes each.
		writes += add("ReplacementWrites", 292*2/secondsPerDay, "calls/s")
		relays := float64(periods.Relays * min(n, designPlaces))
		reads := add("RegistrationReads", rate(float64(n), periods.Daemons), "calls/s")
		reads += add("ConfigurationPolls", rate(float64(n), periods.Configuration), "calls/s")
		reads += add("ConfigurationWatches", relays, "waiting")
		reads += add("ConfigurationConfirmations", float64(n)*changesPerSecond, "calls/s")
		reads += add("DutyReads", duties.reads, "calls/s")
		reads += add("TailReads", rate(ledgerShards*float64(periods.ShardCandidates-1), periods.Tail), "calls/s")
		r.Figures = append(
			r.Figures, boundedFigure("Writes", size, writes, "calls/s", maxKeyValueWrites), boundedFigure("Reads", size, reads, "calls/s", maxKeyValueReads),
		)
		// Traffic that one daemon receives. A candidate for a shard reads a tail of up to 64 KB.
		tailRate := ledgerShards * float64(periods.ShardCandidates-1) / float64(n) / periods.Tail.Seconds() * ledger.DefaultSealBytes
		// Confirming a revision that a peer sent takes a read without changes too.
		pollRate := pollSize * (1/periods.Configuration.Seconds() + changesPerSecond)
		listRate := float64(n) * registrationSize / periods.Daemons.Seconds()
		add("RegistrationBytes", listRate, "bytes/s")
		add("ConfigurationBytes", pollRate, "bytes/s")
		add("TailBytes", tailRate, "bytes/s")
		r.Figures = append(r.Figures, boundedFigure("ReceivedBytes", size, listRate+pollRate+tailRate, "bytes/s", maxControlBytesPerSecond))
	}
	return r, nil
}

// configurationPollBytes counts the bytes on the connection for a read that finds no change
// of the configuration.
func configurationPollBytes() (float64, error) {
	address, stop, err := serveLoopback(standin.NewKeyValue(1).Handler())
	if err != nil {
		return 0, err
	}
	defer stop()
	client, bytes := countingClient()
	defer client.CloseIdleConnections()
	c := &keyvalue.Client{Address: "http://" + address, HTTP: client, Timeout: time.Minute}
	for range 2 { // The first call also opens the connection.
		bytes.Store(0)
		if _, _, err := c.ChangesSince(context.Background(), entry.ConfigurationKey, 1); err != nil {
			return 0, errors.Annotate(err, "read changes")
		}
	}
	return float64(bytes.Load()), nil
}

// registrationBytes returns the size of one registration in a list response.
func registrationBytes() float64 {
	d := fleetDaemons(designDaemons)[designDaemons-1]
	value, _ := json.Marshal(entry.Registration{ // Strings and numbers can always be encoded.
		Daemon: d.ID, Start: d.Start, Region: d.Region, Place: d.Place,
		CallerAddress: d.CallerAddress, PeerAddress: d.PeerAddress, OperatorAddress: "127.0.0.1:7003",
	})
	row, _ := json.Marshal(keyvalue.Entry{Key: "daemons/" + d.ID, Value: value, Revision: 123_456_789, Lease: "daemon-" + d.ID})
	return float64(len(row) + 1)
}

type dutyRates struct{ reads, writes float64 }

// simulateDuties returns the key-value calls per second for the leases on the placement
// duties of two regions, for which every daemon of the region is a candidate.
func simulateDuties(seed uint64, daemons int) dutyRates {
	sim := newSimulation(seed, standin.KeyValueFaults{})
	for i := range daemons {
		_, region := placeAndRegion(i)
		d := lease.New(lease.Config{
			Name: "placement/" + region, Holder: fmt.Sprint("entry-", i), Incarnation: uint64(i), Rand: rand.New(rand.NewPCG(seed, uint64(i))),
		})
		var step func(ev lease.Event)
		step = func(ev lease.Event) {
			for _, a := range d.Step(sim.now, ev) {
				switch a := a.(type) {
				case lease.Write:
					sim.callKeyValue(func() func() {
						e, err := sim.store.CompareAndSwap(context.Background(), a.Key, a.Value, a.Revision, "")
						return func() { step(leaseWriteEvent(a.ID, e, err)) }
					})
				case lease.Read:
					sim.callKeyValue(func() func() {
						e, _ := sim.store.Get(context.Background(), a.Key) // A missing key is an entry with revision 0.
						return func() { step(lease.ReadBack{ID: a.ID, Entry: e}) }
					})
				}
			}
		}
		var tick func()
		tick = func() {
			step(lease.Tick{})
			sim.after(dutyTickInterval, tick)
		}
		sim.after(time.Duration(i)*dutyTickInterval/time.Duration(daemons), tick)
	}
	sim.run(sim.now.Add(time.Minute)) // Leaves out the first claims of the leases.
	before := sim.store.Counts()
	sim.run(sim.now.Add(dutyDuration))
	after := sim.store.Counts()
	return dutyRates{
		reads:  float64(after.Reads-before.Reads) / dutyDuration.Seconds(),
		writes: float64(after.Writes-before.Writes) / dutyDuration.Seconds(),
	}
}

func leaseWriteEvent(id uint64, e keyvalue.Entry, err error) lease.Event {
	if err == nil {
		return lease.Committed{ID: id, Revision: e.Revision}
	}
	if conflict, ok := err.(*keyvalue.ConflictError); ok { //nolint:errorlint // The stand-in returns it unwrapped.
		return lease.CommitConflict{ID: id, Current: conflict.Current}
	}
	return lease.CommitRefused{ID: id}
}

// simulateHeartbeats returns the writes per second of 16 shards without orders.
func simulateHeartbeats(seed uint64) float64 {
	r := &ledgerRun{simulation: newSimulation(seed, standin.KeyValueFaults{})}
	r.submitByShard(ledger.DefaultSealBytes, 0, seed)
	r.run(r.now.Add(time.Minute))
	before := r.store.Counts().Writes
	r.run(r.now.Add(dutyDuration))
	return float64(r.store.Counts().Writes-before) / dutyDuration.Seconds()
}

// measureHolder measures the state of a ledger holder by the number of keys it keeps.
func measureHolder(seed uint64) (Result, error) {
	var r Result
	for _, keys := range []int{1000, 10_000, 40_000} {
		size := sizeLabel(keys, "keys")
		var h *holderRun
		start := processorSeconds()
		memory := heapOf(func() *holderRun {
			h = runHolder(seed, keys)
			return h
		})
		micros := (processorSeconds() - start) / float64(keys) * 1e6
		stored := h.storedBytes()
		counts := h.store.Counts()
		r.Figures = append(
			r.Figures, Figure{Name: "StoredBytesPerKey", Policy: size, Value: stored / float64(keys), Unit: "bytes"},
			Figure{Name: "CallBytesPerOrder", Policy: size, Value: float64(counts.Bytes) / float64(keys), Unit: "bytes"},
			Figure{Name: "WritesPerOrder", Policy: size, Value: float64(counts.Writes) / float64(keys), Unit: "writes"},
			wallClockFigure("ProcessorTimePerOrder", size, micros, "us"),
			wallClockFigure("MemoryPerKey", size, (memory-stored)/float64(keys), "bytes"),
		)
	}
	return r, nil
}

// holderRun simulates a daemon that holds all 16 shards.
type holderRun struct {
	*ledgerRun
	submit func(key string)
}

// runHolder submits the given number of orders at the peak rate.
func runHolder(seed uint64, keys int) *holderRun {
	h := &holderRun{ledgerRun: &ledgerRun{simulation: newSimulation(seed, standin.KeyValueFaults{})}}
	h.submit = h.submitByShard(ledger.DefaultSealBytes, 0, seed)
	h.run(h.now.Add(time.Second))
	for i := range keys {
		h.submit(fmt.Sprintf("8f14e45f-ceea-467f-a0e6-%012d", i))
		h.run(h.now.Add(time.Second / peakOrdersPerSecond))
	}
	h.run(h.now.Add(ledgerDrain))
	return h
}

func (h *holderRun) storedBytes() float64 {
	entries, _, _ := h.store.List(context.Background(), "") // The stand-in is configured without faults here.
	sum := 0.0
	for _, e := range entries {
		sum += float64(len(e.Value))
	}
	return sum
}
