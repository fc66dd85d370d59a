package adoption

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against a burst of reads when the key-value service returns after an outage
// of ten minutes. The configuration may use a tenth of its 2,000 reads a second. The
// daemons keep their revision during the outage.
func TestReadsAreSpreadAfterALongOutage(t *testing.T) {
	const (
		daemons  = 380
		outage   = 10 * time.Minute
		seed     = 17
		maxReads = 200
	)
	t.Logf("seed %d", seed)
	start := time.Unix(1_800_000_000, 0)
	states := make([]State, daemons)
	for i := range states {
		states[i] = State{
			Parse: func([]byte) error { return nil },
			Rand:  rand.New(rand.NewPCG(seed, uint64(i))),
			Poll:  500 * time.Millisecond * 63, // Half a second for each daemon of a data centre.
		}
		states[i].Offer(start, Revision{Number: 1, Value: []byte("{}")}, Source{Kind: Push, Peer: "p"})
	}
	reads := map[int]int{}
	for tick := time.Duration(0); tick < outage+time.Minute; tick += 100 * time.Millisecond {
		now := start.Add(tick)
		for i := range states {
			for _, a := range states[i].Tick(now) {
				if a.Kind != Read {
					continue
				}
				if tick < outage {
					states[i].ReadFailed(now)
					continue
				}
				reads[int((tick-outage)/time.Second)]++
				states[i].Offer(now, Revision{Number: 1, Value: []byte("{}")}, Source{Kind: KeyValue})
			}
			if r, _ := states[i].InForce(); r.Number != 1 {
				t.Fatalf("daemon %d lost its revision during the outage", i)
			}
		}
	}
	confirmed, peak := 0, 0
	for i := range states {
		if _, c := states[i].InForce(); c == ByKeyValue {
			confirmed++
		}
	}
	for _, n := range reads {
		peak = max(peak, n)
	}
	t.Logf("at most %d reads in a second after the outage", peak)
	if confirmed != daemons || peak > maxReads {
		t.Errorf("%d of %d daemons confirmed, at most %d reads in a second, bound %d", confirmed, daemons, peak, maxReads)
	}
}
