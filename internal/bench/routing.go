package bench

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the design, section 10.
const (
	recomputedOverTrueSight = 1.15
	recomputedOverLeastLoad = 0.5
	firstTokenOverLeastLoad = 1.0
)

// routingCase is one size of the routing measure.
type routingCase struct {
	name    string
	servers int
	daemons int
	length  time.Duration
	warm    time.Duration
	prompts int
}

var routingCases = []routingCase{
	{"Small", 20, 8, 20 * time.Minute, 5 * time.Minute, 40},
	{"Large", 920, 380, 150 * time.Second, 60 * time.Second, 400},
}

// routingLoad is the share of the slots in use on average.
const routingLoad = 0.6

func measureRouting(seed uint64) (Result, error) {
	var r Result
	for _, c := range routingCases {
		r.Figures = append(r.Figures, c.run(seed)...)
	}
	return r, nil
}

func (c routingCase) run(seed uint64) []Figure {
	trace := conversationTrace{
		Length: c.length, Daemons: c.daemons, Prompts: c.prompts,
		TurnsPerSecond: routingLoad * float64(c.servers) * 16 / meanHold,
	}
	turns := trace.turns(rand.New(rand.NewPCG(seed, 1)))
	policies := []struct {
		name string
		new  func(*fleetModel) routingPolicy
	}{
		{"apricotbridge", func(f *fleetModel) routingPolicy { return newPartialSight(f, seed) }},
		{"TrueSight", func(*fleetModel) routingPolicy { return trueSight{} }},
		{"LeastLoad", func(*fleetModel) routingPolicy { return leastLoad{rand.New(rand.NewPCG(seed, 3))} }},
		{"Random", func(*fleetModel) routingPolicy { return randomChoice{rand.New(rand.NewPCG(seed, 4))} }},
	}
	var figures []Figure
	recomputed := map[string]float64{}
	computed := map[string]float64{}
	firstToken := map[string]float64{}
	// The runs are independent and each is deterministic, so that they can go on
	// side by side.
	fleets := make([]*fleetModel, len(policies))
	var running sync.WaitGroup
	for i, p := range policies {
		running.Go(func() {
			fleets[i] = newFleetModel(c.servers, c.daemons, c.warm, seed)
			fleets[i].run(copyTurns(turns), p.new(fleets[i]))
		})
	}
	running.Wait()
	for i, p := range policies {
		f := fleets[i]
		n := float64(f.counted)
		recomputed[p.name] = float64(f.recomputed) / n
		computed[p.name] = float64(f.computed) / n
		firstToken[p.name] = float64(f.firstToken.ValueAtQuantile(95)) / 1e6
		add := func(name string, value float64, unit string) {
			figures = append(figures, Figure{Name: c.name + name, Policy: p.name, Value: value, Unit: unit})
		}
		add("Requests", n, "")
		add("ComputedTokens", computed[p.name], "tokens per request")
		add("RecomputedTokens", recomputed[p.name], "tokens per request")
		add("FirstTokenP50", float64(f.firstToken.ValueAtQuantile(50))/1e6, "s")
		add("FirstTokenP95", firstToken[p.name], "s")
		add("WaitedForSlot", float64(f.full)/float64(len(turns)), "of requests")
	}
	ratio := func(name string, values map[string]float64, baseline string, limit float64) {
		figures = append(figures, Figure{
			Name: fmt.Sprintf("%s%sOver%s", c.name, name, baseline), Policy: policies[0].name,
			Value: values[policies[0].name] / values[baseline], Bound: bound(limit), Side: AtMost,
		})
	}
	figures = append(figures, Figure{
		Name: c.name + "ComputedOverTrueSight", Policy: policies[0].name,
		Value: computed[policies[0].name] / computed["TrueSight"],
	})
	ratio("Recomputed", recomputed, "TrueSight", recomputedOverTrueSight)
	ratio("Recomputed", recomputed, "LeastLoad", recomputedOverLeastLoad)
	ratio("FirstTokenP95", firstToken, "LeastLoad", firstTokenOverLeastLoad)
	return figures
}
