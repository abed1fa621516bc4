package httpd

import "sync"

// MaxJournalEntries bounds a journal. At the limit, the older half is dropped.
const MaxJournalEntries = 200_000

// Journal records what a stand-in received. It is safe for concurrent use.
type Journal[T any] struct {
	mu      sync.Mutex
	entries []T
}

// Add appends an entry and may drop old ones; see MaxJournalEntries.
func (j *Journal[T]) Add(entry T) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.entries) >= MaxJournalEntries {
		j.entries = append(j.entries[:0:0], j.entries[MaxJournalEntries/2:]...)
	}
	j.entries = append(j.entries, entry)
}

// All returns a copy of the entries, oldest first. It is never nil.
func (j *Journal[T]) All() []T {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]T{}, j.entries...)
}
