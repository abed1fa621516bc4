package logservice

import (
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/logging"
)

// invalidEraLogInterval is the least time between two log lines about answers without a
// valid era.
const invalidEraLogInterval = 10 * time.Second

// Eras follows the era of a log service. The service states it in each answer. It rises
// each time the service has come back from an older copy of its streams, which lacks the
// latest records and gives out their offsets again. The zero value has seen no era. Its
// methods are safe for concurrent use.
type Eras struct {
	mu sync.Mutex
	// The fields below are guarded by mu.

	log log.Interface
	// newest is the highest era seen, zero if none was.
	newest int64
	// first is the era of the first answer, which came at firstAt; zero if it stated none.
	first   int64
	firstAt time.Time
	// risen counts the changes of newest after its first value, invalid the answers
	// without a valid era after the first valid one.
	risen, invalid int64
	invalidAt      time.Time
}

// EraStats are counts since the start of the process.
type EraStats struct {
	// Newest is the highest era seen.
	Newest int64
	// Risen counts how often a higher era followed, Invalid the answers that stated none
	// although earlier ones had.
	Risen, Invalid int64
}

// Log sets where changes of the era are logged.
func (e *Eras) Log(l log.Interface) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.log = l
}

// Stats returns the counts so far.
func (e *Eras) Stats() EraStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return EraStats{Newest: e.newest, Risen: e.risen, Invalid: e.invalid}
}

// First returns the era of the first answer, zero if it stated none, and when that came. It
// reports false if there was none yet.
func (e *Eras) First() (era int64, at time.Time, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.first, e.firstAt, !e.firstAt.IsZero()
}

// Observe returns the era of an answer that states it as the text. An answer without a
// valid one counts as of the newest era. An era below the newest is that of an answer
// that was on its way while the service was restored.
func (e *Eras) Observe(text string) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	logger := e.log
	if logger == nil {
		logger = logging.Discard()
	}
	era, err := strconv.ParseInt(text, 10, 64)
	if e.firstAt.IsZero() {
		e.firstAt = time.Now()
		if err == nil && era > 0 {
			e.first = era
		}
	}
	if err != nil || era < 0 {
		if now := time.Now(); text != "" || e.newest > 0 {
			e.invalid++
			if now.Sub(e.invalidAt) >= invalidEraLogInterval {
				e.invalidAt = now
				logger.WithFields(log.Fields{"value": text, "newest": e.newest, "answers": e.invalid}).Warn("store_era_invalid")
			}
		}
		return e.newest
	}
	switch {
	case era > e.newest && e.newest > 0:
		e.risen++
		logger.WithFields(log.Fields{"era": era, "before": e.newest}).Warn("store_era_changed")
		e.newest = era
	case era > e.newest:
		logger.WithField("era", era).Info("store_era_read")
		e.newest = era
	case era < e.newest:
		logger.WithFields(log.Fields{"era": era, "newest": e.newest}).Warn("store_era_older")
	}
	return era
}
