package engined

import (
	"encoding/binary"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the length in tokens of an answer without a limit.
const (
	MinAnswerTokens = 4
	MaxAnswerTokens = 300
)

// Token returns token i, counted from zero, of the answer to prompt.
func Token(prompt string, i int) string { return tokenAt(xxhash.Sum64String(prompt), i) }

func tokenAt(promptHash uint64, i int) string {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], promptHash)
	binary.LittleEndian.PutUint64(seed[8:], uint64(i))
	return " " + strconv.FormatUint(xxhash.Sum64(seed[:])%1_000_000, 36)
}

// AnswerTokens returns the number of tokens of the answer to prompt: maxTokens
// or a length derived from the prompt, whichever is smaller. A maxTokens of zero
// or less sets no limit.
func AnswerTokens(prompt string, maxTokens int) int {
	length := unlimitedLength(xxhash.Sum64String(prompt))
	if maxTokens > 0 {
		return min(maxTokens, length)
	}
	return length
}

func unlimitedLength(promptHash uint64) int {
	return MinAnswerTokens + int(promptHash%(MaxAnswerTokens-MinAnswerTokens+1))
}

// Answer returns the concatenated tokens of the answer to prompt.
func Answer(prompt string, maxTokens int) string {
	var text strings.Builder
	for i := range AnswerTokens(prompt, maxTokens) {
		text.WriteString(Token(prompt, i))
	}
	return text.String()
}
