package routing

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

const (
	// BytesPerToken is the estimate for text that no tokenizer has counted. Common
	// tokenizers need 3 to 5 bytes for a token of European text.
	BytesPerToken = 4
	// firstBlockBytes is the size of the first blocks: 64 tokens, which is four of the
	// usual 16-token KV cache blocks of engines.
	firstBlockBytes = 256
	// blocksPerSize is the number of blocks of one size, after which the size grows
	// fourfold. The longest body of 4 MB thus has 296 blocks instead of 16,384, which
	// bounds the time of a decision. The loss of precision is a small share of the
	// prefix length at which it occurs.
	blocksPerSize = 64
	// maxBlockBytes is the largest size of a block.
	maxBlockBytes = 64 << 10
)

// PromptBlocks returns the hash chain over the whole blocks of a prompt. Each hash
// covers all text up to the end of its block, the model and the adapter, so that
// equal hashes mean an equal prefix in an equal cache. Text after the last whole
// block is not covered.
func PromptBlocks(text, model, adapter string) []uint64 {
	chain := make([]uint64, 0, blocksIn(len(text)))
	previous := rootHash(model, adapter)
	size := firstBlockBytes
	var buffer [8]byte
	digest := xxhash.New()
	for len(text) >= size {
		digest.Reset()
		binary.LittleEndian.PutUint64(buffer[:], previous)
		_, _ = digest.Write(buffer[:])
		_, _ = digest.WriteString(text[:size])
		previous = digest.Sum64()
		chain = append(chain, previous)
		text = text[size:]
		size = blockBytes(len(chain))
	}
	return chain
}

// TokensInBlocks returns the estimated tokens in the first n blocks of a prompt.
func TokensInBlocks(n int) int {
	bytes, size := 0, firstBlockBytes
	for n > blocksPerSize && size < maxBlockBytes {
		bytes += blocksPerSize * size
		n -= blocksPerSize
		size *= 4
	}
	return (bytes + n*size) / BytesPerToken
}

// BlocksInTokens returns how many whole blocks a prompt of the given tokens has.
func BlocksInTokens(tokens int) int { return blocksIn(tokens * BytesPerToken) }

func blocksIn(bytes int) int {
	n, size := 0, firstBlockBytes
	for size < maxBlockBytes && bytes >= blocksPerSize*size {
		n += blocksPerSize
		bytes -= blocksPerSize * size
		size *= 4
	}
	return n + bytes/size
}

// blockBytes returns the size of the block with the given index.
func blockBytes(index int) int {
	size := firstBlockBytes
	for ; index >= blocksPerSize && size < maxBlockBytes; index -= blocksPerSize {
		size *= 4
	}
	return size
}

func rootHash(model, adapter string) uint64 {
	return mix(xxhash.Sum64String(model), xxhash.Sum64String(adapter))
}

// mix combines two hashes into one with the finalizer of splitmix64. Rendezvous
// hashing calls it for every server, where a call to xxhash would take longer.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
