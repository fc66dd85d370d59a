package routing

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"
)

// experienced returns a router with 920 servers that has seen conversations, and a
// call with a long prompt of a known session.
func experienced() (*Router, *Call, *Table, *rand.Rand) {
	table, r, random := fleet(920), New(Options{}), source()
	var last *Call
	for i := range 3000 {
		last = call(i, fmt.Sprint(i%100), strings.Repeat(fmt.Sprint(i%100, " "), 40_000))
		d := r.Choose(start, last, table, random)
		r.Sent(start, last, d.Server)
		r.Answered(start.Add(time.Second), last.RequestID, Answer{Load: &Load{Running: i % 8}})
	}
	return r, last, table, random
}

// Guards the bound of 2 allocations a decision.
func TestChooseAllocations(t *testing.T) {
	r, c, table, random := experienced()
	plain, alone := *c, *c
	plain.Plain, alone.Alone = true, true
	for _, c := range []*Call{c, &plain, &alone} {
		if n := testing.AllocsPerRun(200, func() { r.Choose(start, c, table, random) }); n > 2 {
			t.Errorf("%.1f allocations with plain %v, alone %v", n, c.Plain, c.Alone)
		}
	}
}

func BenchmarkChoose(b *testing.B) {
	r, c, table, random := experienced()
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(start, c, table, random)
	}
}

// BenchmarkChooseAllFull measures the longest path, in which every server is examined.
func BenchmarkChooseAllFull(b *testing.B) {
	r, c, table, random := experienced()
	for _, st := range r.view {
		st.inFlight = 8
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Choose(start, c, table, random)
	}
}

// BenchmarkMemory prints the bytes of each kind of entry.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for b.Loop() {
		table := fleet(920)
		before := heap()
		r := New(Options{})
		r.sync(table)
		servers := heap()
		for i := range defaultBlocks {
			r.remember(start, &Call{Session: "s", Blocks: []uint64{mix(uint64(i), 1)}}, r.view[0])
		}
		blocks := heap()
		for i := range defaultHeads {
			r.countHead(start, &Call{Blocks: []uint64{mix(uint64(i), 1)}})
		}
		heads := heap()
		for i := range 10_000 {
			r.Sent(start, &Call{RequestID: fmt.Sprint(i), Plain: true}, "engine-000")
		}
		b.ReportMetric((servers-before)/920, "bytes/server")
		b.ReportMetric((blocks-servers)/defaultBlocks, "bytes/block")
		b.ReportMetric((heads-blocks)/defaultHeads, "bytes/head")
		b.ReportMetric((heap()-heads)/10_000, "bytes/flight")
		runtime.KeepAlive(r)
	}
}
