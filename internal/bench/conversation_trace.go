package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotbridge/internal/routing"
)

// conversationTrace are the parameters of a trace of conversations with several turns. Each
// starts with one of a number of system prompts.
type conversationTrace struct {
	// length is the time in which conversations start.
	length time.Duration
	// turnsPerSecond is the mean rate of turns once conversations overlap.
	turnsPerSecond float64
	daemonCount    int
	// promptCount is the number of system prompts; prompt k, from 1, has a weight of 1/k.
	promptCount int
}

// turn is one request of a conversation.
type turn struct {
	id      string
	session string
	arrival time.Duration
	daemon  int
	// Lengths in tokens.
	promptTokens   int
	responseTokens int
	// chain has the hashes of the blocks of prompt and response; its first promptBlocks
	// are whole blocks of the prompt.
	chain        []uint64
	promptBlocks int

	// State of a run.
	server          int
	estimatedTokens float64
}

func (t *turn) blocks() []uint64 { return t.chain[:t.promptBlocks] }

// copyTurns returns copies of the turns, so that each run has its own state.
func copyTurns(turns []*turn) []*turn {
	copies := make([]*turn, len(turns))
	for i, t := range turns {
		c := *t
		copies[i] = &c
	}
	return copies
}

const (
	meanTurns = 5
	// meanThinkTime is the time between the end of a response and the next message.
	meanThinkTime = 20 * time.Second
)

func (c conversationTrace) turns(random *rand.Rand) []*turn {
	lengths := make([]int, c.promptCount)
	weights := make([]float64, c.promptCount)
	total := 0.0
	for i := range lengths {
		lengths[i] = 512 + random.IntN(2560)
		total += 1 / float64(i+1)
		weights[i] = total
	}
	var turns []*turn
	rate := c.turnsPerSecond / meanTurns
	session := 0
	for at := 0.0; at < c.length.Seconds(); at += random.ExpFloat64() / rate {
		system := min(len(weights)-1, weightIndex(weights, random.Float64()*total))
		turns = append(turns, c.conversation(random, session, time.Duration(at*1e9), system, lengths[system])...)
		session++
	}
	slices.SortFunc(turns, func(a, b *turn) int {
		return cmp.Or(cmp.Compare(a.arrival, b.arrival), cmp.Compare(a.id, b.id))
	})
	return turns
}

func weightIndex(cumulative []float64, x float64) int {
	i, _ := slices.BinarySearch(cumulative, x)
	return i
}

// conversation returns the turns of one conversation. Each turn goes to a random daemon of
// the caller's region, which is the worst case for routing by a daemon's own calls. The
// times do not depend on the policy, so that all policies get the same trace.
func (c conversationTrace) conversation(random *rand.Rand, number int, at time.Duration, system, systemTokens int) []*turn {
	session := fmt.Sprintf("session-%d", number)
	contextTokens := systemTokens
	region := random.IntN(modelRegions)
	var turns []*turn
	for k := 0; k == 0 || random.Float64() > 1.0/meanTurns; k++ {
		t := &turn{
			id: fmt.Sprintf("%s/%d", session, k), session: session, arrival: at,
			daemon:         c.daemon(random, region),
			promptTokens:   contextTokens + 20 + int(random.ExpFloat64()*200),
			responseTokens: 20 + int(random.ExpFloat64()*100),
		}
		t.promptBlocks = routing.BlocksInTokens(t.promptTokens)
		contextTokens = t.promptTokens + t.responseTokens
		turns = append(turns, t)
		at += time.Second + time.Duration(t.responseTokens)*tokenInterval + time.Duration(random.ExpFloat64()*float64(meanThinkTime))
	}
	// Conversations with the same system prompt share the hashes of its blocks.
	chain := make([]uint64, routing.BlocksInTokens(contextTokens))
	for i := range chain {
		namespace := uint64(number)<<32 | 1<<31
		if routing.TokensInBlocks(i+1) <= systemTokens {
			namespace = uint64(system) << 32
		}
		chain[i] = splitmix64(namespace | uint64(i))
	}
	for _, t := range turns {
		t.chain = chain[:routing.BlocksInTokens(t.promptTokens+t.responseTokens)]
	}
	return turns
}

func (c conversationTrace) daemon(random *rand.Rand, region int) int {
	for {
		if d := random.IntN(c.daemonCount); regionOf(d) == region {
			return d
		}
	}
}

// splitmix64 is the finalizer of SplitMix64. As a bijection it gives distinct block hashes.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
