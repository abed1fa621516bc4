package configstore

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// maxPageRecords limits the records of one read of the stream.
const maxPageRecords = 512

// Reader is the part of logservice.Client that a follower needs.
type Reader interface {
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error)
}

var (
	// ErrNoSnapshot reports that the stream holds neither its first record nor a
	// complete snapshot, so that the state of a peer is needed.
	ErrNoSnapshot = errors.New("the config stream holds neither its beginning nor a complete snapshot")
	// errGap reports a page whose records do not continue the fold.
	errGap = errors.New("the log service returned records that do not follow each other")
	// errOlderState reports a state whose offset is below that of the fold.
	errOlderState = errors.New("state is older than the configuration in force")
)

// follower folds the stream, from its first record, a snapshot or the state of a
// peer. It is not safe for concurrent use.
type follower struct {
	log  Reader
	fold *fold
	// canReplay is true if the next record of the fold can be read from the
	// stream. It is false at the start and after a truncation past the fold.
	canReplay bool
	// scanFrom is the next offset to search for a snapshot if not canReplay.
	scanFrom  int64
	chunks    assembler
	onVerdict func(Verdict)
	onStart   func(nonce string)

	// lastSnapshotAt is the log service's time of the last complete snapshot.
	lastSnapshotAt time.Time

	// ignoreGaps accepts pages that do not continue the fold. Only tests set it.
	ignoreGaps bool
}

func newFollower(log Reader) *follower {
	return &follower{log: log, fold: newFold(), onVerdict: func(Verdict) {}, onStart: func(string) {}}
}

// stepResult is the position of the fold after one step. It is zero while the
// follower searches for a snapshot.
type stepResult struct {
	// end is the end of the stream, exclusive, as the answering replica knows it.
	end int64
	// atEnd is true if all records up to end are folded.
	atEnd bool
}

// step reads one page and folds it, or searches it for a snapshot.
func (f *follower) step(ctx context.Context, wait time.Duration) (stepResult, error) {
	from, wait := f.nextRead(wait)
	page, err := f.log.Read(ctx, logservice.StreamConfig, from, maxPageRecords, wait)
	return f.handleRead(page, err)
}

// nextRead returns the offset and the long-poll time of the next read. A search
// for a snapshot does not wait for new records.
func (f *follower) nextRead(wait time.Duration) (int64, time.Duration) {
	if f.canReplay {
		return f.fold.next, wait
	}
	return f.scanFrom, 0
}

// handleRead folds the result of the read that nextRead described. It is
// separate from the read so that a Store does not hold its lock while the log is
// slow.
func (f *follower) handleRead(page logservice.Page, err error) (stepResult, error) {
	var truncated *logservice.TruncatedError
	if errors.As(err, &truncated) {
		f.startSnapshotSearch(truncated.Oldest)
		return stepResult{}, nil
	}
	if err != nil {
		return stepResult{}, err
	}
	if !f.canReplay {
		return stepResult{}, f.findReplayStart(page)
	}
	return f.foldPage(page)
}

func (f *follower) foldPage(page logservice.Page) (stepResult, error) {
	for _, r := range page.Records {
		if r.Offset != f.fold.next && !f.ignoreGaps {
			return stepResult{}, errors.Wrapf(errGap, "offset %d instead of %d", r.Offset, f.fold.next)
		}
		f.foldRecord(r)
	}
	return stepResult{
		end:   page.End,
		atEnd: f.fold.next == page.End,
	}, nil
}

func (f *follower) foldRecord(r logservice.Record) {
	decoded, _ := decodeRecord(r.Data)
	if verdict := f.fold.apply(r, decoded); verdict != nil {
		f.onVerdict(*verdict)
	}
	if decoded.Start != nil {
		f.onStart(decoded.Start.Nonce)
	}
	// Writers append the chunks in order and stop at the first failure, so the
	// last chunk completes a snapshot.
	if c := decoded.Chunk; c != nil && c.Index == c.Count-1 {
		f.lastSnapshotAt = time.UnixMilli(r.TimeMillis)
	}
}

// startSnapshotSearch makes the follower search for a snapshot from the oldest
// offset of the stream. The fold stays in force until a newer state replaces it.
func (f *follower) startSnapshotSearch(oldest int64) {
	f.canReplay = false
	f.scanFrom = oldest
	f.chunks.partial = nil
}

// findReplayStart searches a page for the next record of the fold or for a
// complete snapshot. It returns ErrNoSnapshot at the end of the stream.
func (f *follower) findReplayStart(page logservice.Page) error {
	// At the start the next record is the first of the stream. Later, this
	// replica may still hold the next record although another one truncated it.
	if page.Oldest <= f.fold.next {
		f.canReplay = true
		return nil
	}
	for _, r := range page.Records {
		f.scanFrom = r.Offset + 1
		if f.loadCompletedSnapshot(r, page.Oldest) {
			return nil
		}
	}
	if f.scanFrom >= page.End {
		return ErrNoSnapshot
	}
	return nil
}

// loadCompletedSnapshot adds r to the collected chunks. It reports whether r
// completed a snapshot that is now loaded and that the stream continues.
func (f *follower) loadCompletedSnapshot(r logservice.Record, oldest int64) bool {
	decoded, _ := decodeRecord(r.Data)
	if decoded.Chunk == nil {
		return false
	}
	data := f.chunks.add(*decoded.Chunk)
	if data == nil || decoded.Chunk.Next < oldest {
		return false
	}
	if f.loadState(data) != nil {
		return false
	}
	f.lastSnapshotAt = time.UnixMilli(r.TimeMillis)
	return true
}

// loadState replaces the fold by an encoded state. On error the fold is
// unchanged. The error wraps errOlderState if the state would lower the offset.
func (f *follower) loadState(data []byte) error {
	next, err := decodeFold(data)
	if err != nil {
		return err
	}
	if next.next < f.fold.next {
		return errors.Wrapf(errOlderState, "offset %d, in force %d", next.next, f.fold.next)
	}
	next.ignoreConflicts = f.fold.ignoreConflicts
	f.fold = next
	f.canReplay = true
	f.chunks.partial = nil
	return nil
}
