package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxBlockHolders bounds the servers remembered for one block. A block with more holders
	// belongs to a shared prefix, whose servers are found by hash.
	maxBlockHolders = 6
	// blockRecordDecay is the age at which a record of a cached block counts for 1/e, unless
	// an event reported its eviction.
	blockRecordDecay = 15 * time.Minute
	// maxUnknownBlocks is how many consecutive blocks without a record the search skips.
	// Records are missing when events are lost or when the LRU cache dropped them.
	maxUnknownBlocks = 4
	// sharedPrefixBlocks is the number of leading blocks that identify a shared prefix:
	// 256 tokens.
	sharedPrefixBlocks = 4
)

// blockHolder is a server that is believed to hold a block.
type blockHolder struct {
	handle   uint32
	storedAt uint32 // Unix seconds.
}

// blockRecord holds the believed holders of one prompt block.
type blockRecord struct {
	holders     [maxBlockHolders]blockHolder
	holderCount uint8
	// shared is set once two sessions have sent the block.
	shared       bool
	firstSession uint32
}

// cachedPrefix is the number of leading blocks of a prompt that a server has cached.
type cachedPrefix struct {
	handle   uint32
	storedAt uint32
	blocks   int
}

func (rec *blockRecord) add(handle, at uint32) {
	oldest := 0
	for i := range rec.holders[:rec.holderCount] {
		if rec.holders[i].handle == handle {
			rec.holders[i].storedAt = max(rec.holders[i].storedAt, at)
			return
		}
		if rec.holders[i].storedAt < rec.holders[oldest].storedAt {
			oldest = i
		}
	}
	if int(rec.holderCount) < maxBlockHolders {
		rec.holders[rec.holderCount] = blockHolder{handle, at}
		rec.holderCount++
		return
	}
	rec.holders[oldest] = blockHolder{handle, at}
}

// remove drops a holder unless it stored the block after the event.
func (rec *blockRecord) remove(handle, at uint32) {
	for i := range rec.holders[:rec.holderCount] {
		if rec.holders[i].handle == handle && rec.holders[i].storedAt <= at {
			rec.holderCount--
			rec.holders[i] = rec.holders[rec.holderCount]
			return
		}
	}
}

// recordBlocks records that a server computes, and thus caches, the blocks of a call.
func (r *Router) recordBlocks(now time.Time, call *Call, st *serverState) {
	session := uint32(sessionKey(call))
	// The first block is added last, so that the LRU cache evicts it last: later blocks
	// are not found without it.
	for i := len(call.Blocks) - 1; i >= 0; i-- {
		rec, ok := r.blockRecords.Get(call.Blocks[i])
		if !ok {
			rec = &blockRecord{firstSession: session}
			r.blockRecords.Add(call.Blocks[i], rec)
		}
		if rec.firstSession != session {
			rec.shared = true
		}
		rec.add(st.handle, unixSeconds(now))
	}
}

// CacheEvent applies a hint about a server's cache.
func (r *Router) CacheEvent(now time.Time, event CacheEvent) {
	st := r.states[event.Server]
	if st == nil || st.incarnation != event.Incarnation {
		return
	}
	at := event.At
	if at.After(now) {
		at = now
	}
	switch event.Kind {
	case CacheStored:
		for _, block := range slices.Backward(event.Blocks) {
			rec, ok := r.blockRecords.Get(block)
			if !ok {
				rec = &blockRecord{}
				r.blockRecords.Add(block, rec)
			}
			rec.add(st.handle, unixSeconds(at))
		}
	case CacheEvicted:
		for _, block := range event.Blocks {
			if rec, ok := r.blockRecords.Peek(block); ok {
				rec.remove(st.handle, unixSeconds(at))
			}
		}
	case CacheCleared:
		// A new handle invalidates all block records. Requests in flight keep the state.
		delete(r.handles, st.handle)
		r.lastHandle++
		st.handle = r.lastHandle
		r.handles[st.handle] = st
	}
}

// findCachedPrefixes collects in r.cachedPrefixes the servers that are believed to hold a
// prefix of the prompt. It returns the number of leading blocks shared with other sessions.
func (r *Router) findCachedPrefixes(call *Call) int {
	r.cachedPrefixes = r.cachedPrefixes[:0]
	shared, gap := 0, 0
	for i, block := range call.Blocks {
		rec, ok := r.blockRecords.Peek(block)
		if !ok {
			if gap++; gap > maxUnknownBlocks {
				break
			}
			continue
		}
		gap = 0
		if rec.shared {
			shared = i + 1
		}
		for _, h := range rec.holders[:rec.holderCount] {
			r.addCachedPrefix(h, i+1)
		}
	}
	return shared
}

// maxCachedPrefixes bounds the servers considered in one decision. The longest prefixes
// are found last and replace the shortest ones.
const maxCachedPrefixes = 12

func (r *Router) addCachedPrefix(h blockHolder, blocks int) {
	for i := range r.cachedPrefixes {
		if r.cachedPrefixes[i].handle == h.handle {
			r.cachedPrefixes[i].blocks, r.cachedPrefixes[i].storedAt = blocks, h.storedAt
			return
		}
	}
	if len(r.cachedPrefixes) < maxCachedPrefixes {
		r.cachedPrefixes = append(r.cachedPrefixes, cachedPrefix{h.handle, h.storedAt, blocks})
		return
	}
	shortest := 0
	for i := range r.cachedPrefixes {
		if r.cachedPrefixes[i].blocks < r.cachedPrefixes[shortest].blocks {
			shortest = i
		}
	}
	if r.cachedPrefixes[shortest].blocks < blocks {
		r.cachedPrefixes[shortest] = cachedPrefix{h.handle, h.storedAt, blocks}
	}
}

// believedCachedTokens returns the prompt tokens that a server holds by the block records.
func (r *Router) believedCachedTokens(now time.Time, call *Call, st *serverState) float64 {
	r.findCachedPrefixes(call)
	for _, p := range r.cachedPrefixes {
		if p.handle == st.handle {
			return p.believedTokens(now)
		}
	}
	return 0
}

func (p cachedPrefix) believedTokens(now time.Time) float64 {
	age := max(float64(now.Unix())-float64(p.storedAt), 0)
	return float64(TokensInBlocks(p.blocks)) * math.Exp(-age/blockRecordDecay.Seconds())
}

// sharedPrefixKey identifies the leading blocks of a prompt. A prompt shorter than one
// block is identified by its model, adapter and service.
func sharedPrefixKey(call *Call) uint64 {
	if len(call.Blocks) == 0 {
		return mix(rootHash(call.Model, call.Adapter), xxhash.Sum64String(call.Service))
	}
	return call.Blocks[min(len(call.Blocks), sharedPrefixBlocks)-1]
}

func (p *sharedPrefix) decay(now time.Time) {
	if elapsed := now.Sub(p.updatedAt).Seconds(); elapsed > 0 {
		p.recentCalls *= math.Exp(-elapsed / popularityDecay.Seconds())
		p.updatedAt = now
	}
}

func (r *Router) countPrefixCall(now time.Time, call *Call) {
	key := sharedPrefixKey(call)
	p, ok := r.sharedPrefixes.Get(key)
	if !ok {
		p = &sharedPrefix{updatedAt: now}
		r.sharedPrefixes.Add(key, p)
	}
	p.decay(now)
	p.recentCalls++
	r.allPrefixes.decay(now)
	r.allPrefixes.recentCalls++
}

func unixSeconds(t time.Time) uint32 { return uint32(t.Unix()) }
