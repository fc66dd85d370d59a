package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"apricotbridge/internal/routing"
)

// cacheModel is the prompt prefix cache of a simulated engine: blocks in limited
// tokens, of which the least recently used are evicted.
type cacheModel struct {
	blocks   *simplelru.LRU[uint64, int] // Tokens by hash.
	tokens   int
	capacity int
}

func newCacheModel(capacity int) *cacheModel {
	// The LRU is bounded by tokens below, so that its own bound never applies. The
	// error is for sizes below 1.
	blocks, _ := simplelru.NewLRU[uint64, int](capacity+1, nil)
	return &cacheModel{blocks: blocks, capacity: capacity}
}

// prefix returns the tokens of the leading blocks that are cached.
func (c *cacheModel) prefix(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks.Contains(chain[n]) {
		n++
	}
	return routing.TokensThrough(n)
}

// store makes the chain the most recently used and returns what it added and
// evicted. The first block is touched last, so that a chain is evicted from its end.
func (c *cacheModel) store(chain []uint64) (added, evicted []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(chain[i]); ok {
			continue
		}
		tokens := routing.TokensThrough(i+1) - routing.TokensThrough(i)
		c.blocks.Add(chain[i], tokens)
		c.tokens += tokens
		added = append(added, chain[i])
	}
	for c.tokens > c.capacity {
		hash, tokens, ok := c.blocks.RemoveOldest()
		if !ok {
			break
		}
		c.tokens -= tokens
		evicted = append(evicted, hash)
	}
	return added, evicted
}

// engineModel is a simulated engine. It runs a bounded number of requests, computes
// one prompt at a time, and generates each response at a fixed rate.
type engineModel struct {
	slots    int
	prefill  float64 // Tokens per second.
	cache    *cacheModel
	running  int
	waiting  []*turn
	prompts  []*turn // Admitted, the first one being computed.
	backlog  float64 // Estimated uncached tokens of prompts and waiting.
	reported routing.Load
}

func (e *engineModel) load() routing.Load {
	return routing.Load{Running: e.running, Waiting: len(e.waiting)}
}

// betweenTokens is the target of the design, at which all streams run.
const betweenTokens = 29 * time.Millisecond
