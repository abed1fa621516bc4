package roles

import (
	"math"
	"time"
)

// DefaultMeterWindow is the default time constant of the smoothing. It is long
// compared with single requests and short compared with swings of the load.
const DefaultMeterWindow = 10 * time.Second

// Meter is an exponentially weighted average of the fleet's offered work. It is
// not safe for concurrent use.
type Meter struct {
	window time.Duration
	last   time.Time
	work   Work
	// weight is the total weight of the observations. It approaches 1.
	weight float64
}

// NewMeter returns a meter without observations. window is the time constant; 0
// selects DefaultMeterWindow.
func NewMeter(window time.Duration) *Meter {
	if window == 0 {
		window = DefaultMeterWindow
	}
	return &Meter{window: window}
}

// Observe adds the work that all hosts were offered since the last call, in
// engine seconds: uncached prompt tokens divided by the prefill rate, and
// output tokens divided by the decode rate at the limit on the time between
// tokens. Rejected work counts as well. The first call only sets the start
// time.
func (m *Meter) Observe(offered Work, now time.Time) {
	if m.last.IsZero() {
		m.last = now
		return
	}
	span := now.Sub(m.last).Seconds()
	if span <= 0 {
		return
	}
	m.last = now
	keep := math.Exp(-span / m.window.Seconds())
	m.work.Prefill = m.work.Prefill*keep + offered.Prefill/span*(1-keep)
	m.work.Decode = m.work.Decode*keep + offered.Decode/span*(1-keep)
	m.weight = m.weight*keep + (1 - keep)
}

// Work returns the smoothed work, in engines. It is zero until the second call
// of Observe.
func (m *Meter) Work() Work {
	if m.weight == 0 {
		return Work{}
	}
	return Work{Prefill: m.work.Prefill / m.weight, Decode: m.work.Decode / m.weight}
}
