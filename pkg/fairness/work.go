package fairness

// outputWeight is the ratio of the engine time of an output token to that of a
// prompt token: about 200 to 50 microseconds at full batch.
const outputWeight = 4

// Work converts prefilled prompt tokens and output tokens to tokens of work, the
// unit of the ledger: a prompt token counts 1, an output token outputWeight.
func Work(prefillTokens, outputTokens int) float64 {
	return float64(prefillTokens) + outputWeight*float64(outputTokens)
}
