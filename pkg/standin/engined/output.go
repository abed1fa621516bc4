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

// Token returns token i, counted from zero, of the answer of an engine without a
// software version to prompt.
func Token(prompt string, i int) string { return tokenAt(xxhash.Sum64String(prompt), i) }

// answerHash identifies the answer of an engine of a software version to a prompt.
func answerHash(softwareVersion string, promptHash uint64) uint64 {
	if softwareVersion == "" {
		return promptHash
	}
	return promptHash ^ xxhash.Sum64String(softwareVersion)
}

func tokenAt(answerHash uint64, i int) string {
	var seed [16]byte
	binary.LittleEndian.PutUint64(seed[:8], answerHash)
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

// Answer returns the concatenated tokens of the answer of an engine without a software
// version to prompt.
func Answer(prompt string, maxTokens int) string { return AnswerOf("", prompt, maxTokens) }

// AnswerOf returns the concatenated tokens of the answer of an engine of a software
// version to prompt. The number of tokens does not depend on the version.
func AnswerOf(softwareVersion, prompt string, maxTokens int) string {
	var text strings.Builder
	hash := answerHash(softwareVersion, xxhash.Sum64String(prompt))
	for i := range AnswerTokens(prompt, maxTokens) {
		text.WriteString(tokenAt(hash, i))
	}
	return text.String()
}
