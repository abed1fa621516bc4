package usage

import (
	"encoding/json"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

const (
	// lateWindows is how many windows after its own a count may still arrive;
	// about two hours. Later counts are dropped.
	lateWindows = 120
	// maxSpan is the largest distance, in offsets, from the last record that a
	// close record covers to the close record itself. Counts in this distance
	// are kept apart.
	maxSpan = 10_000
	// maxBuffered bounds the close records kept while the view is unsure.
	maxBuffered = 256
	// keepReported is the number of reported windows that are kept, so that a
	// late reported record finds its window.
	keepReported = 10
)

// unset stands for "no window yet" and "no offset yet".
const unset int64 = -1

// delta is an increase of the counts of a team in a window.
type delta struct {
	offset, window int64
	team           string
	counts         Counts
	// whole marks the first flush of a source that may have had earlier ones
	// before the view: it repeats what they counted.
	whole bool
}

type closedWindow struct {
	figures  map[string]Counts
	reported bool
}

type closeItem struct {
	offset int64
	rec    closeRecord
}

type source struct {
	incarnation string
	window      int64
}

// fold replays the usage stream. It is not safe for concurrent use.
type fold struct {
	// latest holds the last flush of each incarnation and window.
	latest map[source]Flush
	// settled holds counts not yet reported, by window and team; recent those
	// of the last maxSpan offsets.
	settled map[int64]map[string]Counts
	recent  []delta

	length          windowLength
	closed          map[int64]*closedWindow
	lastClosed      int64
	lastCloseOffset int64
	last            int64
	// sure is false while the view lacks the start of the stream and does not
	// determine which windows are closed. start and viewStart are then the
	// offset and the service's time of its first record.
	sure      bool
	start     int64
	viewStart time.Time
	// lastAny is the offset of the last close record, accepted or not, and
	// quietFrom the local time since which there was none.
	lastAny   int64
	quietFrom time.Time
	buffer    []closeItem
	guards    guards
	// grace and quietTime are those of Options.
	grace, quietTime time.Duration
}

func newFold(now time.Time, length windowLength, g guards) *fold {
	return &fold{
		latest:          map[source]Flush{},
		settled:         map[int64]map[string]Counts{},
		length:          length,
		closed:          map[int64]*closedWindow{},
		lastClosed:      unset,
		lastCloseOffset: unset,
		last:            unset,
		lastAny:         unset,
		sure:            true,
		quietFrom:       now,
		guards:          g,
		grace:           Grace,
		quietTime:       QuietTime,
	}
}

// truncated restarts the view at offset start; what was known of closed windows
// stays.
func (f *fold) truncated(start int64, now time.Time) {
	closed, g, grace, quietTime := f.closed, f.guards, f.grace, f.quietTime
	*f = *newFold(now, f.length, g)
	f.grace, f.quietTime = grace, quietTime
	f.closed, f.start, f.sure = closed, start, g.trustPartial
}

func (f *fold) fold(r logservice.Record, e logservice.Entry, now time.Time) {
	if !f.sure && f.viewStart.IsZero() {
		f.viewStart = time.UnixMilli(r.TimeMillis)
	}
	f.last = r.Offset
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
			f.foldClose(closeItem{r.Offset, rec}, now)
		}
	case kindReported:
		var rec reportedRecord
		if json.Unmarshal(e.Body, &rec) == nil {
			f.foldReported(rec.Window)
		}
	}
}

func (f *fold) foldFlush(offset int64, flush Flush) {
	key := source{flush.Incarnation, flush.Window}
	old, known := f.latest[key]
	if flush.Window < f.lastClosed-lateWindows || (known && flush.Sequence <= old.Sequence && !f.guards.addRepeats) {
		return
	}
	f.latest[key] = flush
	if f.guards.dropLate && flush.Window <= f.lastClosed {
		return
	}
	// What a closed window's figures hold of such a source is in a record before
	// the view. Counting nothing may lose late counts; counting all of it would
	// report work twice. One window is added because clocks differ.
	whole := !known && !f.viewStart.IsZero() && f.length.end(flush.Window-1).Before(f.viewStart.Add(time.Duration(f.length)))
	if whole && flush.Window <= f.lastClosed {
		return
	}
	if f.guards.addRepeats {
		old = Flush{}
	}
	for team, counts := range flush.Teams {
		if d := counts.minus(old.Teams[team]); d != (Counts{}) {
			f.recent = append(f.recent, delta{offset: offset, window: flush.Window, team: team, counts: d, whole: whole})
		}
	}
}

// settle moves deltas that no later close record can leave out.
func (f *fold) settle() {
	n := 0
	for n < len(f.recent) && f.recent[n].offset < f.last-maxSpan {
		d := f.recent[n]
		if f.settled[d.window] == nil {
			f.settled[d.window] = map[string]Counts{}
		}
		f.settled[d.window][d.team] = f.settled[d.window][d.team].plus(d.counts)
		n++
	}
	f.recent = f.recent[n:]
}

func (f *fold) foldClose(it closeItem, now time.Time) {
	if f.sure {
		f.apply(it)
	} else {
		f.learn(it)
	}
	f.lastAny, f.quietFrom = it.offset, now
}

// learn derives which windows are closed from two consecutive close records:
// the writer of the second had folded the first as accepted.
func (f *fold) learn(it closeItem) {
	if it.rec.Quiet && max(f.lastAny+1, f.start) <= it.rec.QuietSince {
		f.becomeSure(it)
		return
	}
	f.buffer = append(f.buffer, it)
	if len(f.buffer) > maxBuffered {
		f.buffer = f.buffer[1:]
	}
	for i, first := range f.buffer {
		if first.offset != it.rec.Previous {
			continue
		}
		later := f.buffer[i+1:]
		f.becomeSure(first)
		for _, next := range later {
			f.apply(next)
		}
		return
	}
}

// becomeSure adopts an accepted close record. Counts of closed windows are
// dropped: they may repeat what was counted before the view.
func (f *fold) becomeSure(it closeItem) {
	f.sure, f.buffer = true, nil
	f.accept(it)
	var open []delta
	for _, d := range f.recent {
		if d.window > it.rec.Window {
			open = append(open, d)
		}
	}
	f.recent = open
}

// apply folds a close record into a sure view. The first record of a window
// whose writer knew the last accepted one is accepted.
func (f *fold) apply(it closeItem) {
	rec := it.rec
	if f.guards.lastCloseWins {
		f.closed[rec.Window] = &closedWindow{figures: rec.Figures}
	}
	known := rec.Previous == f.lastCloseOffset
	if rec.Quiet {
		known = f.lastAny < rec.QuietSince
	}
	if known && rec.Window > f.lastClosed && it.offset-rec.Through <= maxSpan {
		f.accept(it)
	}
}

// accept fixes the figures of a window. They cover every count up to
// rec.Through of this and earlier windows; the rest stays for the next one.
func (f *fold) accept(it closeItem) {
	rec := it.rec
	for window := range f.settled {
		if window <= rec.Window {
			delete(f.settled, window)
		}
	}
	var rest []delta
	for _, d := range f.recent {
		if d.window > rec.Window || (d.offset > rec.Through && !d.whole) {
			rest = append(rest, d)
		}
	}
	f.recent = rest
	f.closed[rec.Window] = &closedWindow{figures: rec.Figures}
	f.lastClosed, f.lastCloseOffset = rec.Window, it.offset
	f.forget()
}

// forget drops sources and reported windows that can no longer change.
func (f *fold) forget() {
	for key := range f.latest {
		if key.window < f.lastClosed-lateWindows {
			delete(f.latest, key)
		}
	}
	for window, c := range f.closed {
		if c.reported && window < f.lastClosed-keepReported {
			delete(f.closed, window)
		}
	}
}

func (f *fold) foldReported(window int64) {
	if c := f.closed[window]; c != nil {
		c.reported = true
	}
}

// unreported sums the counts of all windows up to window that are in no
// figures yet.
func (f *fold) unreported(window int64) map[string]Counts {
	sum := map[string]Counts{}
	first := f.firstWhole()
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

// firstWhole returns the first window that this view may close. An unsure view
// cannot know which older windows are closed.
func (f *fold) firstWhole() int64 {
	if f.sure {
		return 0
	}
	// One window more than needed, because hosts' clocks differ from the
	// service's.
	return f.length.of(f.viewStart) + 2
}

// due returns the next window to close at time now, if any: the oldest open one
// with counts that ended at least Grace ago, or the last ended one if there are
// only late counts.
func (f *fold) due(now time.Time) (int64, bool) {
	if !f.sure && now.Sub(f.quietFrom) < f.quietTime {
		return 0, false
	}
	ended := f.length.of(now.Add(-f.grace)) - 1
	oldest, late := ended+1, false
	see := func(window int64) {
		switch {
		case window < f.firstWhole():
		case window <= f.lastClosed:
			late = true
		default:
			oldest = min(oldest, window)
		}
	}
	for window := range f.settled {
		see(window)
	}
	for _, d := range f.recent {
		see(d.window)
	}
	if oldest <= ended {
		return oldest, true
	}
	return ended, late && ended > f.lastClosed
}
