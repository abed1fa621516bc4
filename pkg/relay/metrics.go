package relay

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Histogram collects times. It is safe for concurrent use.
type Histogram struct {
	mu   sync.Mutex
	hist *hdrhistogram.Histogram // guarded by mu
}

// maxRecorded bounds a recorded time; longer ones count as this long.
const maxRecorded = time.Minute

func newHistogram() *Histogram {
	return &Histogram{hist: hdrhistogram.New(1, maxRecorded.Microseconds(), 2)}
}

// Record adds a time.
func (h *Histogram) Record(d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// The value is inside the bounds, so recording cannot fail.
	_ = h.hist.RecordValue(min(max(d, 0), maxRecorded).Microseconds())
}

// Quantile returns the time that the share q, 0 to 1, of the values does not
// exceed, and the number of values.
func (h *Histogram) Quantile(q float64) (time.Duration, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.hist.ValueAtQuantile(100*q)) * time.Microsecond, h.hist.TotalCount()
}

// Metrics are the counters of a handler. All are safe for concurrent use.
type Metrics struct {
	// Requests counts ended requests by outcome, Late those that were placed
	// behind work that could be on time.
	Requests expvar.Map
	Late     expvar.Int
	// Repeats counts sends beyond the first of a request, Resumed the streams
	// that went on at another engine.
	Repeats, Resumed expvar.Int
	// Total is the time from the arrival to the end of the answer, First that to
	// its first byte, Prefill that of reading a prompt, FirstEvent that from the
	// send to a decode engine to the first event.
	Total, First, Prefill, FirstEvent *Histogram
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{Total: newHistogram(), First: newHistogram(), Prefill: newHistogram(), FirstEvent: newHistogram()}
	m.Requests.Init()
	return m
}

func (m *Metrics) ended(x *exchange) {
	m.Requests.Add(x.outcome, 1)
	m.Total.Record(x.waited())
	if !x.firstByte.IsZero() {
		m.First.Record(x.firstByte.Sub(x.arrived))
	}
	if x.late {
		m.Late.Add(1)
	}
}
