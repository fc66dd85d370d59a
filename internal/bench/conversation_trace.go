package bench

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"apricotbridge/internal/routing"
)

// conversationTrace states a trace of conversations in several turns, which start
// with one of a number of system prompts.
type conversationTrace struct {
	// Length is the time in which conversations start.
	Length time.Duration
	// TurnsPerSecond is the rate of requests once conversations overlap.
	TurnsPerSecond float64
	Daemons        int
	// Prompts is the number of system prompts. The k-th is used with a weight of 1/k.
	Prompts int
}

// turn is one request of a conversation.
type turn struct {
	id      string
	session string
	at      time.Duration
	daemon  int
	// prompt and response are lengths in tokens.
	prompt   int
	response int
	// chain covers the prompt and the response; promptBlocks of it are whole blocks
	// of the prompt.
	chain        []uint64
	promptBlocks int

	// State of the run.
	server   int
	estimate float64
}

func (t *turn) blocks() []uint64 { return t.chain[:t.promptBlocks] }

// copyTurns returns turns whose state of the run is separate.
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
	// meanThink is the time between the end of a response and the next message.
	meanThink = 20 * time.Second
)

func (c conversationTrace) turns(random *rand.Rand) []*turn {
	lengths := make([]int, c.Prompts)
	weights := make([]float64, c.Prompts)
	total := 0.0
	for i := range lengths {
		lengths[i] = 512 + random.IntN(2560)
		total += 1 / float64(i+1)
		weights[i] = total
	}
	var turns []*turn
	rate := c.TurnsPerSecond / meanTurns
	session := 0
	for at := 0.0; at < c.Length.Seconds(); at += random.ExpFloat64() / rate {
		system := min(len(weights)-1, weightIndex(weights, random.Float64()*total))
		turns = append(turns, c.conversation(random, session, time.Duration(at*1e9), system, lengths[system])...)
		session++
	}
	slices.SortFunc(turns, func(a, b *turn) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id))
	})
	return turns
}

func weightIndex(cumulative []float64, x float64) int {
	i, _ := slices.BinarySearch(cumulative, x)
	return i
}

// conversation returns the turns of one conversation. Each turn reaches a random
// daemon of the caller's region, which is the worst case for what a daemon remembers
// itself. The times do not depend on the policy, so that all policies get the same trace.
func (c conversationTrace) conversation(random *rand.Rand, number int, at time.Duration, system, systemTokens int) []*turn {
	session := fmt.Sprintf("session-%d", number)
	tokens := systemTokens
	region := random.IntN(modelRegions)
	var turns []*turn
	for k := 0; k == 0 || random.Float64() > 1.0/meanTurns; k++ {
		t := &turn{
			id: fmt.Sprintf("%s/%d", session, k), session: session, at: at,
			daemon:   c.daemon(random, region),
			prompt:   tokens + 20 + int(random.ExpFloat64()*200),
			response: 20 + int(random.ExpFloat64()*100),
		}
		t.promptBlocks = routing.BlocksWithin(t.prompt)
		tokens = t.prompt + t.response
		turns = append(turns, t)
		at += time.Second + time.Duration(t.response)*betweenTokens + time.Duration(random.ExpFloat64()*float64(meanThink))
	}
	chain := make([]uint64, routing.BlocksWithin(tokens))
	for i := range chain {
		owner := uint64(number)<<32 | 1<<31
		if routing.TokensThrough(i+1) <= systemTokens {
			owner = uint64(system) << 32
		}
		chain[i] = scramble(owner | uint64(i))
	}
	for _, t := range turns {
		t.chain = chain[:routing.BlocksWithin(t.prompt+t.response)]
	}
	return turns
}

func (c conversationTrace) daemon(random *rand.Rand, region int) int {
	for {
		if d := random.IntN(c.Daemons); regionOf(d) == region {
			return d
		}
	}
}

// scramble is the finalizer of splitmix64, a bijection, so that blocks never collide.
func scramble(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
