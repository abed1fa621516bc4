package logservice

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Memory is a log service in memory, for tests and for the stand-in process.
// It is safe for concurrent use.
type Memory struct {
	clock clockwork.Clock

	mu sync.Mutex
	// streams and era are guarded by mu. era is zero if the log states none.
	streams map[string]*memoryStream
	era     int64
}

type memoryStream struct {
	oldest  int64
	records []Record
	// appended is closed and replaced at each append.
	appended chan struct{}
}

// NewMemory returns an empty log service.
func NewMemory(clock clockwork.Clock) *Memory {
	return &Memory{clock: clock, streams: map[string]*memoryStream{}}
}

// stream must be called with mu held.
func (m *Memory) stream(name string) *memoryStream {
	s := m.streams[name]
	if s == nil {
		s = &memoryStream{appended: make(chan struct{})}
		m.streams[name] = s
	}
	return s
}

func (s *memoryStream) end() int64 { return s.oldest + int64(len(s.records)) }

// Append implements Client.
func (m *Memory) Append(_ context.Context, stream string, records [][]byte) (int64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	first := s.end()
	now := m.clock.Now().UnixMilli()
	for i, data := range records {
		record := Record{Offset: first + int64(i), TimeMillis: now, Data: append([]byte(nil), data...)}
		s.records = append(s.records, record)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return first, nil
}

// Read implements Client.
func (m *Memory) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	timeout := m.clock.After(wait)
	for first := true; ; first = false {
		page, appended, err := m.readNow(stream, from, limit)
		if !first && err == nil && len(page.Records) == 0 {
			// The copy of a restore ends here: the reader learns of the new era.
			return page, nil
		}
		if err != nil || len(page.Records) > 0 || wait <= 0 {
			return page, err
		}
		select {
		case <-appended:
		case <-timeout:
			return page, nil
		case <-ctx.Done():
			return Page{}, &outcomeError{outcome: ErrUnavailable, cause: ctx.Err()}
		}
	}
}

func (m *Memory) readNow(stream string, from int64, limit int) (Page, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	if from < s.oldest || from > s.end() {
		return Page{}, nil, &TruncatedError{Oldest: s.oldest, Era: m.era}
	}
	page := Page{Oldest: s.oldest, End: s.end(), Era: m.era}
	if from < s.end() {
		start := int(from - s.oldest)
		stop := min(start+limit, len(s.records))
		page.Records = append([]Record(nil), s.records[start:stop]...)
	}
	return page, s.appended, nil
}

// Truncate drops the records of stream before offset, as the service's retention
// does.
func (m *Memory) Truncate(stream string, offset int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stream(stream)
	offset = min(offset, s.end())
	if offset <= s.oldest {
		return
	}
	s.records = append([]Record(nil), s.records[offset-s.oldest:]...)
	s.oldest = offset
}

// TruncateOlderThan drops the records of every stream appended before t.
func (m *Memory) TruncateOlderThan(t time.Time) {
	m.mu.Lock()
	newOldest := map[string]int64{}
	for name, s := range m.streams {
		for _, r := range s.records {
			if r.TimeMillis >= t.UnixMilli() {
				break
			}
			newOldest[name] = r.Offset + 1
		}
	}
	m.mu.Unlock()
	for name, offset := range newOldest {
		m.Truncate(name, offset)
	}
}
