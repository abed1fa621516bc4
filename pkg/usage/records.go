package usage

import (
	"fmt"
	"time"
)

const (
	// DefaultWindow is the default of Options.Window.
	DefaultWindow = time.Minute
	// DefaultGrace is the time from the end of a window to its close record. It
	// allows for flushes and for clock differences of a few seconds.
	DefaultGrace = 15 * time.Second
	// DefaultFlushInterval is the time between two flushes of a process.
	DefaultFlushInterval = 2 * time.Second
	// DefaultQuietTime is the time without any close record after which a
	// reporter with an incomplete view closes windows. It is far longer than a
	// change of the lease holder takes.
	DefaultQuietTime = 10 * time.Minute
)

// Kinds of record in the usage stream.
const (
	kindCounts   = "counts"
	kindClose    = "close"
	kindReported = "reported"
	kindEra      = "era"
)

// Counts is an amount of delivered work.
type Counts struct {
	InputTokens  int64 `json:"in"`
	CachedTokens int64 `json:"cached"`
	OutputTokens int64 `json:"out"`
	Requests     int64 `json:"requests"`
}

func (c Counts) plus(o Counts) Counts {
	return Counts{c.InputTokens + o.InputTokens, c.CachedTokens + o.CachedTokens, c.OutputTokens + o.OutputTokens, c.Requests + o.Requests}
}

func (c Counts) minus(o Counts) Counts {
	return Counts{c.InputTokens - o.InputTokens, c.CachedTokens - o.CachedTokens, c.OutputTokens - o.OutputTokens, c.Requests - o.Requests}
}

// windowLength is the length of the windows.
type windowLength time.Duration

// indexOf returns the index of the window that contains t.
func (l windowLength) indexOf(t time.Time) int64 { return t.UnixNano() / int64(l) }

// endOf returns the end of a window.
func (l windowLength) endOf(window int64) time.Time { return time.Unix(0, (window+1)*int64(l)) }

// Flush holds the cumulative counts of one incarnation in one window. It is the
// body of a counts record, and peers receive it in a handover. A flush replaces
// those with a lower sequence number.
type Flush struct {
	Incarnation string            `json:"incarnation"`
	Window      int64             `json:"window"`
	Sequence    int64             `json:"seq"`
	Teams       map[string]Counts `json:"teams"`
}

func (f Flush) id() string { return fmt.Sprintf("%s/%d/%d", f.Incarnation, f.Window, f.Sequence) }

// closeRecord fixes the figures of a window.
type closeRecord struct {
	Window int64 `json:"window"`
	// Era is the era of the stream that the writer read in; the record counts in no other.
	// First is the first window that may be closed in it, see eraRecord.
	Era   int64 `json:"era,omitempty"`
	First int64 `json:"first,omitempty"`
	// Previous is the offset of the last close record that the writer had
	// accepted. If another was accepted since, this record is not, because late
	// counts may be in the figures of one window only.
	Previous int64 `json:"previous"`
	// Through is the offset of the last record that the writer had folded; the
	// figures cover every count up to it.
	Through int64 `json:"through"`
	// Quiet marks a record written from an incomplete view. It is accepted if no
	// close record lies between offset QuietSince and its own.
	Quiet      bool              `json:"quiet,omitempty"`
	QuietSince int64             `json:"quiet_since,omitempty"`
	Figures    map[string]Counts `json:"figures"`
}

type reportedRecord struct {
	Window int64 `json:"window"`
}

// Report is the usage of one team in one window.
type Report struct {
	// ID is the same whenever the report is sent again.
	ID     string `json:"id"`
	Team   string `json:"team"`
	Window int64  `json:"window"`
	// StartMillis and EndMillis bound the window, in Unix milliseconds.
	StartMillis int64  `json:"start_ms"`
	EndMillis   int64  `json:"end_ms"`
	Counts      Counts `json:"counts"`
	// Holder and Fence are of the lease under which the report is sent. They
	// are not part of the figures.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

func newReport(l windowLength, window int64, team string, c Counts) Report {
	end := l.endOf(window)
	return Report{
		ID:          fmt.Sprintf("usage-%d-%s", window, team),
		Team:        team,
		Window:      window,
		StartMillis: end.Add(-time.Duration(l)).UnixMilli(),
		EndMillis:   end.UnixMilli(),
		Counts:      c,
	}
}
