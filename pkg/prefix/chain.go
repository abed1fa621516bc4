package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChunkTokens is the size, in tokens, of the chunks in which engines cache
// prompts.
const ChunkTokens = 2000

// BytesPerToken is the assumed number of prompt bytes per token, the usual mean
// for English text. Engines report exact token counts afterwards.
const BytesPerToken = 4

// ChunkBytes is the size of a chunk in prompt bytes.
const ChunkBytes = ChunkTokens * BytesPerToken

// Tokens estimates the number of tokens in n bytes of text.
func Tokens(n int) int { return (n + BytesPerToken - 1) / BytesPerToken }

// Chain returns one hash for each full chunk of the prompt. A hash covers the
// salt and the prompt up to the end of its chunk, so equal hashes mean equal
// prefixes. Different salts isolate the caches of teams from each other.
func Chain(salt string, prompt []byte) []uint64 {
	chain := make([]uint64, 0, len(prompt)/ChunkBytes)
	previous := xxhash.Sum64String(salt)
	var seed [8]byte
	for len(prompt) >= ChunkBytes {
		binary.LittleEndian.PutUint64(seed[:], previous)
		digest := xxhash.New()
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:ChunkBytes])
		previous = digest.Sum64()
		chain = append(chain, previous)
		prompt = prompt[ChunkBytes:]
	}
	return chain
}
