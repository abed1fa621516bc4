package usage

import (
	"context"
	"fmt"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// Eras of the usage stream.
//
// A log that has come back from an older copy has lost the latest records and gives out
// their offsets again, in a new era. A window may have been closed and reported by a
// record that is lost, so its figures must not be fixed again.
//
// Each close record states the era that its writer read in, and counts only in a view of
// exactly that era. Such a record was appended in that era: its writer had seen the era,
// and the view reads it before the next one. So the views of one era agree as if its close
// records began with it, whatever of the copy they have read, and a record that is
// appended late, in a later era, counts nowhere. A process that had accepted a close before
// keeps its figures and may still report them.
//
// No window that ended before an era began is closed in it, and its counts are in no other
// window, because they may have been reported. An era record states the first window that
// may be closed in the era. No window is closed before a view has read such a record, or a
// close record, which states it as well. Any such record is right, so views need not agree
// on one. A process that starts later would otherwise have to leave out all windows before
// its start.

// DefaultMaxClockSkew is the default of Options.MaxClockSkew: the time of day of each of two
// hosts may be off by two and a half seconds.
const DefaultMaxClockSkew = 5 * time.Second

// eraRecord states the first window that may be closed in an era.
type eraRecord struct {
	Era int64 `json:"era,omitempty"`
	// First is the first window that had not ended, on any clock, when the writer's view of
	// the era began. Zero says that the log had no earlier era.
	First int64 `json:"first"`
	// Again marks a record written because the log has lost records without a new era. It
	// replaces a lower First.
	Again bool `json:"again,omitempty"`
}

// eraStarted begins the view of an era. notEnded is the first window that has not ended on
// any clock.
func (f *fold) eraStarted(start logservice.EraStart, notEnded int64, now time.Time) {
	sameEra := start.Era == f.era
	if start.Restored {
		f.restartAt(start.Oldest, now)
		f.complete = f.complete || start.Oldest == 0
		f.afterEarlierEra = true
		// Their figures are kept.
		for window := range f.closed {
			f.keptThrough = max(f.keptThrough, window)
		}
	}
	f.era, f.notEnded, f.again = start.Era, notEnded, start.Restored && sameEra
	f.firstKnown, f.first = f.disabled.eraRecord, 0
}

// mayDecide reports whether a record may state the first window of the era.
func (f *fold) mayDecide(first int64) bool { return !f.again || first >= f.notEnded }

// ofThisEra reports whether a record that states an era was appended in the era of the
// view.
func (f *fold) ofThisEra(era int64) bool {
	if era != f.era {
		f.afterEarlierEra = true
	}
	return era == f.era || f.disabled.eraOfCloses
}

// foldEra folds the record that decides which window is the first of the era, or a later
// one. A record that takes the log for new counts in no view that knows better.
func (f *fold) foldEra(rec eraRecord) {
	if !f.ofThisEra(rec.Era) || rec.First == 0 && f.afterEarlierEra || !f.mayDecide(rec.First) {
		return
	}
	if !f.firstKnown || rec.Again && rec.First > f.first {
		f.firstKnown, f.first = true, rec.First
	}
}

// eraStarted begins the view of an era.
func (r *Reporter) eraStarted(start logservice.EraStart) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.eraStarted(start, r.notEnded(), r.opts.Clock.Now())
	r.viewLogged = false
}

// notEnded returns the first window that has not ended on any clock. Another host closes a
// window Options.Grace after its end on a clock that may be ahead by Options.MaxClockSkew.
func (r *Reporter) notEnded() int64 {
	return r.fold.length.indexOf(r.opts.Clock.Now().Add(max(0, r.opts.MaxClockSkew-r.opts.Grace)))
}

// beginEra appends an era record if the view is read to its end and has none.
func (r *Reporter) beginEra(ctx context.Context, holdsLease bool) {
	e, rec, due := r.eraEntry(r.tail.Status(), holdsLease)
	if !due {
		return
	}
	appendCtx, cancel := clockwork.WithTimeout(ctx, r.opts.Clock, appendTimeout)
	defer cancel()
	err := r.batcher.AppendFolded(appendCtx, e)
	if err != nil && ctx.Err() == nil {
		r.opts.Log.WithFields(log.Fields{"era": rec.Era, "first_window": rec.First, "error": err}).Warn("usage_era_not_folded")
	}
}

// eraEntry returns the era record that is due, if any. Without the lease it is due only in
// a view that begins with the stream or has seen the era begin: a later process may find
// the first window in the next close record.
func (r *Reporter) eraEntry(read logservice.TailStatus, holdsLease bool) (logservice.Entry, eraRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.fold
	if f.firstKnown || read.ReadToEndAt.IsZero() || !f.complete && !holdsLease && read.Restores == 0 {
		return logservice.Entry{}, eraRecord{}, false
	}
	rec := eraRecord{Era: f.era, First: f.notEnded, Again: f.again}
	if r.opts.FirstStart != nil && r.opts.FirstStart(f.era) && f.complete && !f.afterEarlierEra {
		rec.First = 0
	}
	r.lastID++
	e, err := logservice.NewEntry(fmt.Sprintf("%s/era/%d", r.opts.Incarnation, r.lastID), kindEra, rec)
	return e, rec, err == nil
}
