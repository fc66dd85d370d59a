package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Upper bounds from the design on the ratios of the router to a baseline.
const (
	maxRecomputedOverTrueSight = 1.15
	maxRecomputedOverLeastLoad = 0.5
	maxFirstTokenOverLeastLoad = 1.0
)

// routingCase is one size of the routing measure.
type routingCase struct {
	name        string
	serverCount int
	daemonCount int
	length      time.Duration
	warmUp      time.Duration
	promptCount int
}

var routingCases = []routingCase{
	{"Small", 20, 8, 20 * time.Minute, 5 * time.Minute, 40},
	{"Large", 920, 380, 150 * time.Second, 60 * time.Second, 400},
}

// routingUtilisation is the mean share of the slots in use.
const routingUtilisation = 0.6

func measureRouting(seed uint64) (Result, error) {
	var r Result
	for _, c := range routingCases {
		r.Figures = append(r.Figures, c.run(seed)...)
	}
	return r, nil
}

func (c routingCase) run(seed uint64) []Figure {
	trace := conversationTrace{
		length: c.length, daemonCount: c.daemonCount, promptCount: c.promptCount,
		turnsPerSecond: routingUtilisation * float64(c.serverCount) * 16 / meanSlotSeconds,
	}
	turns := trace.turns(rand.New(rand.NewPCG(seed, 1)))
	policies := []struct {
		name  string
		build func(*fleetModel) routingPolicy
	}{
		{"apricotbridge", func(f *fleetModel) routingPolicy { return newDaemonRouters(f, seed) }},
		{"TrueSight", func(*fleetModel) routingPolicy { return trueSight{} }},
		{"LeastLoad", func(*fleetModel) routingPolicy { return leastLoad{rand.New(rand.NewPCG(seed, 3))} }},
		{"Random", func(*fleetModel) routingPolicy { return randomChoice{rand.New(rand.NewPCG(seed, 4))} }},
	}
	var figures []Figure
	recomputed := map[string]float64{}
	computed := map[string]float64{}
	firstToken := map[string]float64{}
	// The runs are independent and each is deterministic, so that they can run in parallel.
	fleets := make([]*fleetModel, len(policies))
	var runs sync.WaitGroup
	for i, p := range policies {
		runs.Go(func() {
			fleets[i] = newFleetModel(c.serverCount, c.daemonCount, c.warmUp, seed)
			fleets[i].run(copyTurns(turns), p.build(fleets[i]))
		})
	}
	runs.Wait()
	for i, p := range policies {
		f := fleets[i]
		turnCount := float64(f.countedTurns)
		recomputed[p.name] = float64(f.recomputedTokens) / turnCount
		computed[p.name] = float64(f.computedTokens) / turnCount
		firstToken[p.name] = float64(f.firstToken.ValueAtQuantile(95)) / 1e6
		add := func(name string, value float64, unit string) {
			figures = append(figures, Figure{Name: c.name + name, Policy: p.name, Value: value, Unit: unit})
		}
		add("Requests", turnCount, "")
		add("ComputedTokens", computed[p.name], "tokens per request")
		add("RecomputedTokens", recomputed[p.name], "tokens per request")
		add("FirstTokenP50", float64(f.firstToken.ValueAtQuantile(50))/1e6, "s")
		add("FirstTokenP95", firstToken[p.name], "s")
		add("WaitedForSlot", float64(f.waitedForSlot)/float64(len(turns)), "of requests")
	}
	addRatio := func(name string, values map[string]float64, baseline string, limit float64) {
		figures = append(figures, Figure{
			Name: fmt.Sprintf("%s%sOver%s", c.name, name, baseline), Policy: policies[0].name,
			Value: values[policies[0].name] / values[baseline], Bound: newBound(limit), Side: AtMost,
		})
	}
	figures = append(figures, Figure{
		Name: c.name + "ComputedOverTrueSight", Policy: policies[0].name,
		Value: computed[policies[0].name] / computed["TrueSight"],
	})
	addRatio("Recomputed", recomputed, "TrueSight", maxRecomputedOverTrueSight)
	addRatio("Recomputed", recomputed, "LeastLoad", maxRecomputedOverLeastLoad)
	addRatio("FirstTokenP95", firstToken, "LeastLoad", maxFirstTokenOverLeastLoad)
	return figures
}
