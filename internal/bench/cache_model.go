package bench

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"apricotbridge/internal/routing"
)

// prefixCache is the prefix cache of a simulated engine. It holds blocks up to a number of
// tokens and evicts the least recently used ones.
type prefixCache struct {
	blocks   *simplelru.LRU[uint64, int] // Tokens of each block by its hash.
	tokens   int
	capacity int
}

func newPrefixCache(capacity int) *prefixCache {
	// The capacity in tokens is enforced in store, so that the LRU never reaches its own
	// limit. NewLRU fails only for sizes below 1.
	blocks, _ := simplelru.NewLRU[uint64, int](capacity+1, nil)
	return &prefixCache{blocks: blocks, capacity: capacity}
}

// cachedTokens returns the number of tokens in the leading blocks that are cached.
func (c *prefixCache) cachedTokens(chain []uint64) int {
	n := 0
	for n < len(chain) && c.blocks.Contains(chain[n]) {
		n++
	}
	return routing.TokensInBlocks(n)
}

// store makes the blocks of the chain the most recently used and returns the blocks it
// added and evicted. It touches the first block last, so that eviction starts at the end
// of a chain.
func (c *prefixCache) store(chain []uint64) (added, evicted []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		if _, ok := c.blocks.Get(chain[i]); ok {
			continue
		}
		tokens := routing.TokensInBlocks(i+1) - routing.TokensInBlocks(i)
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

// cachingEngine is a simulated engine with a prefix cache. It runs a bounded number of
// requests, computes one prompt at a time, and generates each response at a fixed rate.
type cachingEngine struct {
	slots                  int
	prefillTokensPerSecond float64
	cache                  *prefixCache
	running                int
	waiting                []*turn
	prompts                []*turn // Admitted, the first one in prefill.
	backlog                float64 // Estimated uncached tokens of prompts and waiting.
	reported               routing.Load
}

func (e *cachingEngine) load() routing.Load {
	return routing.Load{Running: e.running, Waiting: len(e.waiting)}
}

// tokenInterval is the time between the tokens of every response: the design's target.
const tokenInterval = 29 * time.Millisecond
