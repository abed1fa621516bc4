package relay

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram is a distribution of durations. It is safe for concurrent use.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // guarded by mu
}

// maxRecordedTime is the upper bound of a histogram. Longer times are recorded as
// this one.
const maxRecordedTime = time.Minute

func newHistogram() *Histogram {
	return &Histogram{hist: hdrhistogram.New(1, maxRecordedTime.Microseconds(), 2)}
}

// Record adds d, clamped to the range of 0 to maxRecordedTime.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is within the bounds, so recording cannot fail.
	_ = h.hist.RecordValue(min(max(d, 0), maxRecordedTime).Microseconds())
}

// Quantile returns the quantile q, from 0 to 1, and the number of recorded times.
func (h *Histogram) Quantile(q float64) (time.Duration, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.hist.ValueAtQuantile(100*q)) * time.Microsecond, h.hist.TotalCount()
}

// Metrics are the counters and histograms of a handler. All are safe for
// concurrent use.
type Metrics struct {
	// Requests counts ended requests by outcome, Late those that were expected to
	// miss their target and got a lower priority.
	Requests expvar.Map
	Late     expvar.Int
	// Retries counts sends that repeat an earlier one, Resumed the broken streams
	// that were resumed at another engine.
	Retries, Resumed expvar.Int
	// UnknownOrigin counts streams that callers took up and that were refused because the
	// software version that began them was not known.
	UnknownOrigin expvar.Int
	// SilentKept counts sends whose endpoint was silent for too long and was waited
	// for, because no other could take over; SilentLeft those that were given up.
	SilentKept, SilentLeft expvar.Int
	// Ejections counts the ejections of endpoints by the kind of failure, PeerEjections
	// those that other hosts reported.
	Ejections, PeerEjections expvar.Map
	// HeldOverShare counts requests that were held back because their team was over its
	// share of the engines under overload, RefusedOverShare those of such teams that
	// could not be served in their time.
	HeldOverShare, RefusedOverShare expvar.Int
	// Total is the time from the arrival to the end of the answer, FirstByte that
	// to its first byte. Prefill is the time of a successful prefill, FirstEvent
	// that from the send to a decode engine to the first event.
	Total, FirstByte, Prefill, FirstEvent *Histogram
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Total: newHistogram(), FirstByte: newHistogram(), Prefill: newHistogram(), FirstEvent: newHistogram()}
	m.Requests.Init()
	m.Ejections.Init()
	m.PeerEjections.Init()
	return m
}

func (m *Metrics) record(x *exchange) {
	m.Requests.Add(x.outcome, 1)
	m.Total.Record(x.elapsed())
	if !x.firstByte.IsZero() {
		m.FirstByte.Record(x.firstByte.Sub(x.arrived))
	}
	if x.late {
		m.Late.Add(1)
	}
}
