package relayhost

import (
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/membudget"
)

// memoryLogInterval is the least time between two log lines about the budget.
const memoryLogInterval = time.Second

// memoryLog logs the requests and answers that were given up for lack of memory. Only
// one goroutine uses it.
type memoryLog struct {
	last membudget.Stats
	at   time.Time
}

func (m *memoryLog) update(stats membudget.Stats, now time.Time, logger log.Interface) {
	refused, reads, answers := stats.Refused-m.last.Refused, stats.EvictedReads-m.last.EvictedReads, stats.EvictedWrites-m.last.EvictedWrites
	if refused+reads+answers == 0 || now.Sub(m.at) < memoryLogInterval {
		return
	}
	m.last, m.at = stats, now
	logger.WithFields(log.Fields{"refused": refused, "reads_evicted": reads, "answers_evicted": answers,
		"held": stats.Held, "budget": stats.Limit}).Warn("memory_exhausted")
}
