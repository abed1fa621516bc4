package usage

import (
	"encoding/json"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

const (
	// maxLateWindows is how many windows late a count may arrive: two hours with
	// the default window. Later counts are dropped.
	maxLateWindows = 120
	// maxCloseSpan is the maximum distance, in offsets, between a close record
	// and the last record that it covers. Counts within this distance of the
	// last record are kept as separate deltas.
	maxCloseSpan = 10_000
	// maxBufferedCloses bounds the close records kept by an incomplete view.
	maxBufferedCloses = 256
	// maxReportedKept is the number of windows for which a reported one is kept,
	// so that a late reported record finds its window.
	maxReportedKept = 10
)

// unset means "no window yet" or "no offset yet".
const unset int64 = -1

// delta is an increase of the counts of a team in a window.
type delta struct {
	offset, window int64
	team           string
	counts         Counts
	// mayRepeat marks the first flush of a source that may have flushed before
	// the start of the view: its counts include those of the earlier flushes.
	mayRepeat bool
}

type closedWindow struct {
	figures  map[string]Counts
	reported bool
	// offset and era are those of the accepted close record.
	offset, era int64
}

type foldedClose struct {
	offset, era int64
	rec         closeRecord
}

type source struct {
	incarnation string
	window      int64
}

// fold is the state replayed from the usage stream. It is not safe for
// concurrent use.
type fold struct {
	// latest holds the last flush of each incarnation and window.
	latest map[source]Flush
	// settled and recent hold the counts that are in no figures yet: recent those
	// of the last maxCloseSpan offsets, settled the older ones by window and team.
	settled map[int64]map[string]Counts
	recent  []delta

	length          windowLength
	closed          map[int64]*closedWindow
	lastClosed      int64
	lastCloseOffset int64
	lastOffset      int64
	// complete is false while the view lacks the start of the stream and does not
	// determine which windows are closed. startOffset and viewStart are then the
	// offset and the service's time of its first record.
	complete    bool
	startOffset int64
	viewStart   time.Time
	// lastSeenCloseOffset is the offset of the last close record, accepted or not.
	// noCloseSince is the local time since which none was folded.
	lastSeenCloseOffset int64
	noCloseSince        time.Time
	bufferedCloses      []foldedClose
	disabled            disabledGuards
	// grace and quietTime are those of Options.
	grace, quietTime time.Duration
	// era is that of the view, zero if the log states none. afterEarlierEra is set if the
	// log is known to have been in use in another era.
	era             int64
	afterEarlierEra bool
	// first is the first window that may be closed in the era, if firstKnown is set.
	first      int64
	firstKnown bool
	// notEnded is the first window that had not ended on any clock when the view of the era
	// began. again is set if the log has lost records without a new era, so that records of
	// the era may state a lower first window.
	notEnded int64
	again    bool
	// keptThrough is the last window that is known to have been closed in another era, or that
	// an incomplete view has read a close record of.
	keptThrough int64
}

func newFold(now time.Time, length windowLength, disabled disabledGuards) *fold {
	return &fold{
		latest:              map[source]Flush{},
		settled:             map[int64]map[string]Counts{},
		length:              length,
		closed:              map[int64]*closedWindow{},
		lastClosed:          unset,
		lastCloseOffset:     unset,
		lastOffset:          unset,
		lastSeenCloseOffset: unset,
		complete:            true,
		noCloseSince:        now,
		disabled:            disabled,
		grace:               DefaultGrace,
		quietTime:           DefaultQuietTime,
		firstKnown:          true,
		keptThrough:         unset,
	}
}

// restartAt restarts the view of the same era at offset start and keeps the closed
// windows.
func (f *fold) restartAt(start int64, now time.Time) {
	old := *f
	*f = *newFold(now, old.length, old.disabled)
	f.grace, f.quietTime = old.grace, old.quietTime
	f.closed, f.startOffset, f.complete = old.closed, start, old.disabled.truncationCheck
	f.era, f.afterEarlierEra, f.keptThrough = old.era, old.afterEarlierEra, old.keptThrough
	f.first, f.firstKnown, f.notEnded, f.again = old.first, old.firstKnown, old.notEnded, old.again
}

func (f *fold) fold(r logservice.Record, e logservice.Entry, now time.Time) {
	if !f.complete && f.viewStart.IsZero() {
		f.viewStart = time.UnixMilli(r.TimeMillis)
	}
	f.lastOffset = r.Offset
	f.settle()
	switch e.Kind {
	case kindCounts:
		var flush Flush
		if json.Unmarshal(e.Body, &flush) == nil {
			f.foldFlush(r.Offset, flush)
		}
	case kindClose:
		var rec closeRecord
		if json.Unmarshal(e.Body, &rec) == nil {
			f.foldClose(foldedClose{offset: r.Offset, era: r.Era, rec: rec}, now)
		}
	case kindReported:
		var rec reportedRecord
		if json.Unmarshal(e.Body, &rec) == nil {
			f.foldReported(rec.Window)
		}
	case kindEra:
		var rec eraRecord
		if json.Unmarshal(e.Body, &rec) == nil {
			f.foldEra(rec)
		}
	}
}

func (f *fold) foldFlush(offset int64, flush Flush) {
	key := source{flush.Incarnation, flush.Window}
	old, known := f.latest[key]
	if flush.Window < f.lastClosed-maxLateWindows || (known && flush.Sequence <= old.Sequence && !f.disabled.sequenceCheck) {
		return
	}
	f.latest[key] = flush
	if f.disabled.lateCounts && flush.Window <= f.lastClosed {
		return
	}
	// Which counts of such a source a closed window's figures include depends on
	// records before the view. Dropping the flush may lose late counts; counting
	// all of it would report work twice. One window is added because clocks
	// differ.
	mayRepeat := !known && !f.viewStart.IsZero() && f.length.endOf(flush.Window-1).Before(f.viewStart.Add(time.Duration(f.length)))
	if mayRepeat && flush.Window <= f.lastClosed {
		return
	}
	if f.disabled.sequenceCheck {
		old = Flush{}
	}
	for team, counts := range flush.Teams {
		if d := counts.minus(old.Teams[team]); d != (Counts{}) {
			f.recent = append(f.recent, delta{offset: offset, window: flush.Window, team: team, counts: d, mayRepeat: mayRepeat})
		}
	}
}

// settle moves to settled the deltas that every later close record covers.
func (f *fold) settle() {
	n := 0
	for n < len(f.recent) && f.recent[n].offset < f.lastOffset-maxCloseSpan {
		d := f.recent[n]
		if f.settled[d.window] == nil {
			f.settled[d.window] = map[string]Counts{}
		}
		f.settled[d.window][d.team] = f.settled[d.window][d.team].plus(d.counts)
		n++
	}
	f.recent = f.recent[n:]
}

func (f *fold) foldClose(it foldedClose, now time.Time) {
	if !f.ofThisEra(it.rec.Era) {
		// The window may have been reported with these figures.
		f.keptThrough = max(f.keptThrough, it.rec.Window)
		return
	}
	if f.complete {
		f.applyClose(it)
	} else {
		f.deriveClosed(it)
	}
	f.lastSeenCloseOffset, f.noCloseSince = it.offset, now
}

// deriveClosed derives which windows are closed from two consecutive close
// records: the writer of the second had accepted the first. A quiet record
// suffices alone if the view covers its range and has no other close record there.
func (f *fold) deriveClosed(it foldedClose) {
	if it.rec.Quiet && max(f.lastSeenCloseOffset+1, f.startOffset) <= it.rec.QuietSince {
		f.adoptClose(it)
		return
	}
	// Others may have accepted it and reported its window.
	f.keptThrough = max(f.keptThrough, it.rec.Window)
	f.bufferedCloses = append(f.bufferedCloses, it)
	if len(f.bufferedCloses) > maxBufferedCloses {
		f.bufferedCloses = f.bufferedCloses[1:]
	}
	for i, first := range f.bufferedCloses {
		if first.offset != it.rec.Previous {
			continue
		}
		later := f.bufferedCloses[i+1:]
		f.adoptClose(first)
		for _, next := range later {
			f.applyClose(next)
		}
		return
	}
}

// adoptClose makes the view complete by a close record that is known to be
// accepted. Counts of closed windows are dropped: they may repeat counts from
// before the view.
func (f *fold) adoptClose(it foldedClose) {
	f.complete, f.bufferedCloses = true, nil
	f.acceptClose(it)
	var open []delta
	for _, d := range f.recent {
		if d.window > it.rec.Window {
			open = append(open, d)
		}
	}
	f.recent = open
}

// applyClose folds a close record into a complete view. It accepts the first
// record of a window whose writer knew the last accepted close record.
func (f *fold) applyClose(it foldedClose) {
	rec := it.rec
	if f.disabled.firstCloseWins {
		f.closed[rec.Window] = &closedWindow{figures: rec.Figures}
	}
	known := rec.Previous == f.lastCloseOffset
	if rec.Quiet {
		known = f.lastSeenCloseOffset < rec.QuietSince
	}
	if known && rec.Window > f.lastClosed && it.offset-rec.Through <= maxCloseSpan {
		f.acceptClose(it)
	}
}

// acceptClose fixes the figures of a window. They cover the counts of this and
// earlier windows up to offset rec.Through; later counts go to the next window.
func (f *fold) acceptClose(it foldedClose) {
	rec := it.rec
	for window := range f.settled {
		if window <= rec.Window {
			delete(f.settled, window)
		}
	}
	var rest []delta
	for _, d := range f.recent {
		if d.window > rec.Window || (d.offset > rec.Through && !d.mayRepeat) {
			rest = append(rest, d)
		}
	}
	f.recent = rest
	if f.closed[rec.Window] == nil {
		f.closed[rec.Window] = &closedWindow{figures: rec.Figures, offset: it.offset, era: it.era}
	}
	f.lastClosed, f.lastCloseOffset = rec.Window, it.offset
	f.foldEra(eraRecord{Era: rec.Era, First: rec.First})
	f.prune()
}

// prune drops sources and reported windows that can no longer change.
func (f *fold) prune() {
	for key := range f.latest {
		if key.window < f.lastClosed-maxLateWindows {
			delete(f.latest, key)
		}
	}
	for window, c := range f.closed {
		if c.reported && window < f.lastClosed-maxReportedKept {
			delete(f.closed, window)
		}
	}
}

func (f *fold) foldReported(window int64) {
	if c := f.closed[window]; c != nil {
		c.reported = true
	}
}

// unreportedCounts sums the counts of all windows up to window that are in no
// figures yet.
func (f *fold) unreportedCounts(window int64) map[string]Counts {
	sum := map[string]Counts{}
	first := f.firstClosable()
	for w, teams := range f.settled {
		for team, counts := range teams {
			if w <= window && w >= first {
				sum[team] = sum[team].plus(counts)
			}
		}
	}
	for _, d := range f.recent {
		if d.window <= window && d.window >= first {
			sum[d.team] = sum[d.team].plus(d.counts)
		}
	}
	return sum
}

// firstClosable returns the first window that this view may close. An incomplete
// view does not determine which older windows are closed.
func (f *fold) firstClosable() int64 {
	first := max(f.first, f.keptThrough+1)
	if f.complete {
		return first
	}
	// One window is added because hosts' clocks differ from the service's.
	return max(first, f.length.indexOf(f.viewStart)+2)
}

// nextDue returns the next window to close at time now, if any. This is the
// oldest open window with counts that ended at least the grace period ago, or,
// if there are only late counts, the last window that ended so long ago.
func (f *fold) nextDue(now time.Time) (int64, bool) {
	if !f.firstKnown || !f.complete && now.Sub(f.noCloseSince) < f.quietTime {
		return 0, false
	}
	ended := f.length.indexOf(now.Add(-f.grace)) - 1
	oldest, late := ended+1, false
	consider := func(window int64) {
		switch {
		case window < f.firstClosable():
		case window <= f.lastClosed:
			late = true
		default:
			oldest = min(oldest, window)
		}
	}
	for window := range f.settled {
		consider(window)
	}
	for _, d := range f.recent {
		consider(d.window)
	}
	if oldest <= ended {
		return oldest, true
	}
	return ended, late && ended > f.lastClosed
}
