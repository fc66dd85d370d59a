package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
)

// warmRouter returns a router for 920 servers that has routed 3000 requests of 100
// sessions, and a call with a long prompt of a known session.
func warmRouter() (*Router, *Call, *Table, *rand.Rand) {
	table, r, random := testTable(920), New(Options{}), newRandom()
	var last *Call
	for i := range 3000 {
		last = testCall(i, fmt.Sprint(i%100), strings.Repeat(fmt.Sprint(i%100, " "), 40_000))
		d := r.Choose(testStart, last, table, random)
		r.Sent(testStart, last, d.Server)
		r.Answered(testStart.Add(time.Second), last.RequestID, Answer{Load: &Load{Running: i % 8}})
	}
	return r, last, table, random
}

// Guards the limit of 2 allocations per decision.
func TestChooseAllocations(t *testing.T) {
	r, c, table, random := warmRouter()
	plain, alone := *c, *c
	plain.Plain, alone.Alone = true, true
	for _, c := range []*Call{c, &plain, &alone} {
		if n := testing.AllocsPerRun(200, func() { r.Choose(testStart, c, table, random) }); n > 2 {
			t.Errorf("%.1f allocations with plain %v, alone %v", n, c.Plain, c.Alone)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	r, c, table, random := warmRouter()
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(testStart, c, table, random)
	}
}

// BenchmarkChooseAllFull measures the slowest case, in which every server is examined.
func BenchmarkChooseAllFull(b *testing.B) {
	r, c, table, random := warmRouter()
	for _, st := range r.tableStates {
		st.inFlight = 8
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(testStart, c, table, random)
	}
}

// BenchmarkMemory reports the bytes per record of each kind.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		table := testTable(920)
		before := heap()
		r := New(Options{})
		r.syncTable(table)
		servers := heap()
		for i := range defaultMaxBlocks {
			r.recordBlocks(testStart, &Call{Session: "s", Blocks: []uint64{mix(uint64(i), 1)}}, r.tableStates[0])
		}
		blocks := heap()
		for i := range defaultMaxSharedPrefixes {
			r.countPrefixCall(testStart, &Call{Blocks: []uint64{mix(uint64(i), 1)}})
		}
		prefixes := heap()
		for i := range 10_000 {
			r.Sent(testStart, &Call{RequestID: fmt.Sprint(i), Plain: true}, "engine-000")
		}
		b.ReportMetric((servers-before)/920, "bytes/server")
		b.ReportMetric((blocks-servers)/defaultMaxBlocks, "bytes/block")
		b.ReportMetric((prefixes-blocks)/defaultMaxSharedPrefixes, "bytes/prefix")
		b.ReportMetric((heap()-prefixes)/10_000, "bytes/request")
		runtime.KeepAlive(r)
	}
}
