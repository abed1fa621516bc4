package logservice

import "time"

// SetEra makes the log state an era in its answers. Zero, the default, states none.
func (m *Memory) SetEra(era int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era = era
}

// Restore replaces the content by a copy of the given age, as after the loss of a store:
// the records appended since are gone and their offsets are given out again. If the log
// states an era, the era rises by one. It returns the number of records lost.
func (m *Memory) Restore(age time.Duration) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	copiedAt := m.clock.Now().Add(-age).UnixMilli()
	lost := 0
	for _, s := range m.streams {
		n := len(s.records)
		for n > 0 && s.records[n-1].TimeMillis > copiedAt {
			n--
		}
		lost += len(s.records) - n
		s.records = s.records[:n:n]
		close(s.appended)
		s.appended = make(chan struct{})
	}
	if m.era > 0 {
		m.era++
	}
	return lost
}
