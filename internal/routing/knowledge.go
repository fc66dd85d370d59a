package routing

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxHolders bounds the servers remembered for one block. A block held by more
	// servers is a shared head, which the hash preference finds.
	maxHolders = 6
	// cacheLife is the age at which a record of a cached block counts for 1/e, where
	// no event reported its eviction.
	cacheLife = 15 * time.Minute
	// maxGap is how many unknown blocks a walk skips. Blocks go missing when events
	// are lost or when the record was dropped for space.
	maxGap = 4
	// headBlocks is where prompts with the same head stop being told apart: 256 tokens.
	headBlocks = 4
)

// holder is a server that is believed to hold a block.
type holder struct {
	handle uint32
	at     uint32 // Unix seconds.
}

// record is what is known about one prompt block.
type record struct {
	holders [maxHolders]holder
	count   uint8
	// shared is set once two sessions have sent the block.
	shared  bool
	session uint32
}

// holding is how deep a server's cache covers the prompt at hand.
type holding struct {
	handle uint32
	at     uint32
	blocks int
}

func (rec *record) add(handle, at uint32) {
	oldest := 0
	for i := range rec.holders[:rec.count] {
		if rec.holders[i].handle == handle {
			rec.holders[i].at = max(rec.holders[i].at, at)
			return
		}
		if rec.holders[i].at < rec.holders[oldest].at {
			oldest = i
		}
	}
	if int(rec.count) < maxHolders {
		rec.holders[rec.count] = holder{handle, at}
		rec.count++
		return
	}
	rec.holders[oldest] = holder{handle, at}
}

// remove drops a holder unless it is known to have stored the block after the event.
func (rec *record) remove(handle, at uint32) {
	for i := range rec.holders[:rec.count] {
		if rec.holders[i].handle == handle && rec.holders[i].at <= at {
			rec.count--
			rec.holders[i] = rec.holders[rec.count]
			return
		}
	}
}

// remember records that a server computes, and thus caches, the blocks of a call.
func (r *Router) remember(now time.Time, call *Call, st *state) {
	session := uint32(sessionKey(call))
	// The first block is added last, so that it is the last to be dropped: without
	// it the deeper ones are not found.
	for i := len(call.Blocks) - 1; i >= 0; i-- {
		rec, ok := r.blocks.Get(call.Blocks[i])
		if !ok {
			rec = &record{session: session}
			r.blocks.Add(call.Blocks[i], rec)
		}
		if rec.session != session {
			rec.shared = true
		}
		rec.add(st.handle, unixSeconds(now))
	}
}

// CacheEvent takes in a hint about a server's cache.
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
			rec, ok := r.blocks.Get(block)
			if !ok {
				rec = &record{}
				r.blocks.Add(block, rec)
			}
			rec.add(st.handle, unixSeconds(at))
		}
	case CacheEvicted:
		for _, block := range event.Blocks {
			if rec, ok := r.blocks.Peek(block); ok {
				rec.remove(st.handle, unixSeconds(at))
			}
		}
	case CacheCleared:
		// A new handle disowns all records at once. Requests in flight keep the state.
		delete(r.handles, st.handle)
		r.next++
		st.handle = r.next
		r.handles[st.handle] = st
	}
}

// walk finds the servers that are believed to hold a prefix of the call's prompt, in
// r.holders, and returns the number of leading blocks that other sessions share.
func (r *Router) walk(call *Call) int {
	r.holders = r.holders[:0]
	shared, gap := 0, 0
	for i, block := range call.Blocks {
		rec, ok := r.blocks.Peek(block)
		if !ok {
			if gap++; gap > maxGap {
				break
			}
			continue
		}
		gap = 0
		if rec.shared {
			shared = i + 1
		}
		for _, h := range rec.holders[:rec.count] {
			r.noteHolder(h, i+1)
		}
	}
	return shared
}

// maxHoldings bounds the holders considered in one decision. The deepest are found
// last, so that they replace the shallowest.
const maxHoldings = 12

func (r *Router) noteHolder(h holder, blocks int) {
	for i := range r.holders {
		if r.holders[i].handle == h.handle {
			r.holders[i].blocks, r.holders[i].at = blocks, h.at
			return
		}
	}
	if len(r.holders) < maxHoldings {
		r.holders = append(r.holders, holding{h.handle, h.at, blocks})
		return
	}
	shallow := 0
	for i := range r.holders {
		if r.holders[i].blocks < r.holders[shallow].blocks {
			shallow = i
		}
	}
	if r.holders[shallow].blocks < blocks {
		r.holders[shallow] = holding{h.handle, h.at, blocks}
	}
}

// knownTokens returns the prompt tokens that a server is believed to hold by record.
func (r *Router) knownTokens(now time.Time, call *Call, st *state) float64 {
	r.walk(call)
	for _, h := range r.holders {
		if h.handle == st.handle {
			return h.tokens(now)
		}
	}
	return 0
}

func (h holding) tokens(now time.Time) float64 {
	age := max(float64(now.Unix())-float64(h.at), 0)
	return float64(TokensThrough(h.blocks)) * math.Exp(-age/cacheLife.Seconds())
}

// headKey identifies the shared start of a prompt. A prompt shorter than one block
// still has its model and adapter.
func headKey(call *Call) uint64 {
	if len(call.Blocks) == 0 {
		return mix(rootHash(call.Model, call.Adapter), xxhash.Sum64String(call.Service))
	}
	return call.Blocks[min(len(call.Blocks), headBlocks)-1]
}

func (h *head) decay(now time.Time) {
	if elapsed := now.Sub(h.at).Seconds(); elapsed > 0 {
		h.weight *= math.Exp(-elapsed / headLife.Seconds())
		h.at = now
	}
}

func (r *Router) countHead(now time.Time, call *Call) {
	key := headKey(call)
	h, ok := r.heads.Get(key)
	if !ok {
		h = &head{at: now}
		r.heads.Add(key, h)
	}
	h.decay(now)
	h.weight++
	r.total.decay(now)
	r.total.weight++
}

func unixSeconds(t time.Time) uint32 { return uint32(t.Unix()) }
