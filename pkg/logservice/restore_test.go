package logservice_test

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

// foldedIDs collects the IDs of the records that a tail folds.
type foldedIDs struct {
	mu  sync.Mutex
	ids []string
}

func (f *foldedIDs) fold(_ logservice.Record, e logservice.Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ids = append(f.ids, e.ID)
}

func (f *foldedIDs) take() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	ids := f.ids
	f.ids = nil
	return ids
}

func appendIDs(t *testing.T, c logservice.Client, ids ...string) {
	t.Helper()
	for _, id := range ids {
		data, err := entry(id).Encode()
		if err == nil {
			_, err = c.Append(context.Background(), "s", [][]byte{data})
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// TestTailStartsAgainInANewEra guards against a tail that folds the records of a restored
// log onto those that the log has lost: it skips the records at offsets that it had read
// already, or reads nothing until the log has grown beyond them.
func TestTailStartsAgainInANewEra(t *testing.T) {
	for name, c := range map[string]struct {
		era int64
		// written is appended before the tail reads again.
		written []string
		// down keeps the tail from reading between the restore and the appends.
		down bool
	}{
		"refused beyond the end":            {era: 5, written: nil},
		"refused without an era":            {era: 0, written: nil},
		"offset reached before the read":    {era: 5, written: []string{"n1", "n2", "n3"}, down: true},
		"offset not reached before it":      {era: 5, written: []string{"n1"}, down: true},
		"records written after the restore": {era: 5, written: []string{"n1", "n2", "n3", "n4"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				clock := clockwork.NewRealClock()
				mem := logservice.NewMemory(clock)
				mem.SetEra(c.era)
				link := faultlog.New(mem, clock, rand.New(rand.NewSource(2)), faultlog.Rates{})
				var folded foldedIDs
				tail := logservice.NewTail(logservice.TailOptions{Client: link, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)), Fold: folded.fold})
				defer tail.Close()
				appendIDs(t, mem, "a", "b")
				time.Sleep(10 * time.Second)
				appendIDs(t, mem, "lost1", "lost2")
				time.Sleep(time.Second)
				if ids := folded.take(); !slices.Equal(ids, []string{"a", "b", "lost1", "lost2"}) {
					t.Fatalf("folded %v before the restore", ids)
				}
				link.SetDown(c.down)
				time.Sleep(3 * time.Second) // a waiting read ends
				mem.Restore(8 * time.Second)
				if !c.down {
					time.Sleep(10 * time.Second)
				}
				appendIDs(t, mem, c.written...)
				link.SetDown(false)
				time.Sleep(10 * time.Second)
				want := append([]string{"a", "b"}, c.written...)
				if ids := folded.take(); !slices.Equal(ids, want) {
					t.Errorf("folded %v after the restore, want %v", ids, want)
				}
			})
		})
	}
}

// statedEra is a log that states another era than its own while stated is not zero.
type statedEra struct {
	*logservice.Memory
	stated atomic.Int64
}

func (m *statedEra) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := m.Memory.Read(ctx, stream, from, limit, wait)
	if era := m.stated.Load(); era > 0 {
		page.Era = era
	}
	return page, err
}

// TestTailRefusesAnswersOfAnEarlierEra guards against a tail that folds an answer that was
// sent before the log was restored, and against one that never reads on if the log goes on
// to state an earlier era.
func TestTailRefusesAnswersOfAnEarlierEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		log := &statedEra{Memory: logservice.NewMemory(clock)}
		log.SetEra(7)
		var folded foldedIDs
		var starts []logservice.EraStart
		tail := logservice.NewTail(logservice.TailOptions{Client: log, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)), Fold: folded.fold,
			EraStarted: func(s logservice.EraStart) { starts = append(starts, s) }})
		appendIDs(t, log, "a")
		time.Sleep(5 * time.Second)
		log.stated.Store(6)
		appendIDs(t, log, "b")
		time.Sleep(5 * time.Second)
		if ids := folded.take(); !slices.Equal(ids, []string{"a"}) {
			t.Errorf("folded %v while the answers state an earlier era, want [a]", ids)
		}
		time.Sleep(15 * time.Second)
		if ids := folded.take(); !slices.Equal(ids, []string{"b"}) {
			t.Errorf("folded %v after 20 s of such answers, want [b]", ids)
		}
		log.stated.Store(0)
		log.Restore(time.Hour)
		time.Sleep(5 * time.Second)
		if s := tail.Status(); s.Era != 8 || s.Next != 0 || s.Restores != 1 {
			t.Errorf("status %+v after the restore", s)
		}
		tail.Close()
		if want := []logservice.EraStart{{Era: 7}, {Era: 8, Restored: true}}; !slices.Equal(starts, want) {
			t.Errorf("eras began %+v, want %+v", starts, want)
		}
	})
}

// TestAppendOfAnEarlierEraIsNotFolded guards against a caller that takes its record for
// folded although the log has lost it: by offset, the tail had read beyond it long ago.
func TestAppendOfAnEarlierEraIsNotFolded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		mem := logservice.NewMemory(clock)
		mem.SetEra(1)
		link := faultlog.New(mem, clock, rand.New(rand.NewSource(2)), faultlog.Rates{})
		tail := logservice.NewTail(logservice.TailOptions{Client: link, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)), Fold: func(logservice.Record, logservice.Entry) {}})
		defer tail.Close()
		batcher := logservice.NewBatcher(logservice.BatcherOptions{Client: mem, Stream: "s", Clock: clock, Tail: tail})
		defer batcher.Close()
		appendIDs(t, mem, "a", "b", "c")
		time.Sleep(3 * time.Second)
		link.SetDown(true)
		time.Sleep(3 * time.Second)
		mem.Restore(time.Hour)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		// The record gets offset 0 of the new era; the tail still reads in the old one.
		if err := batcher.AppendFolded(ctx, entry("n")); !errors.Is(err, logservice.ErrOutcomeUnknown) {
			t.Errorf("append ended with %v before the record was folded", err)
		}
		link.SetDown(false)
		time.Sleep(5 * time.Second)
		if err := batcher.AppendFolded(context.Background(), entry("m")); err != nil {
			t.Error(err)
		}
	})
}
