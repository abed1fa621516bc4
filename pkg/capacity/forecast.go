package capacity

import (
	"math"
	"time"
)

const (
	// riseWindow and fallWindow are the time constants of the smoothing. The
	// forecast follows a rise within seconds and a fall only within minutes,
	// because an endpoint that is released too early takes minutes to replace.
	riseWindow = 15 * time.Second
	fallWindow = 3 * time.Minute
	// trendWindow is the time constant of Forecast.lagged.
	trendWindow = time.Minute
)

// Forecast predicts the demand from the offered work. It is not safe for
// concurrent use.
type Forecast struct {
	lead  time.Duration
	last  time.Time
	level Demand
	// lagged is a slower mean of the demand than level; their difference gives
	// the trend.
	lagged Demand
	// trend is the rise of the demand per second; it is never negative.
	trend Demand
}

// NewForecast returns a forecast that looks ahead by lead, the time that a new
// endpoint takes to start.
func NewForecast(lead time.Duration) *Forecast { return &Forecast{lead: lead} }

// Observe adds the current demand. Rejected work counts as well.
func (f *Forecast) Observe(d Demand, now time.Time) {
	if f.last.IsZero() {
		f.last, f.level, f.lagged = now, d, d
		return
	}
	span := now.Sub(f.last)
	f.last = now
	f.update(&f.level.Strict, &f.lagged.Strict, &f.trend.Strict, d.Strict, span)
	f.update(&f.level.Tolerant, &f.lagged.Tolerant, &f.trend.Tolerant, d.Tolerant, span)
}

func (f *Forecast) update(level, lagged, trend *float64, d float64, span time.Duration) {
	window := riseWindow
	if d < *level {
		window = fallWindow
	}
	*level += (d - *level) * smoothingWeight(span, window)
	*lagged += (d - *lagged) * smoothingWeight(span, trendWindow)
	// The lagged mean differs from the level by the slope times the lag, which
	// is trendWindow.
	*trend = max(0, *level-*lagged) / trendWindow.Seconds()
}

// smoothingWeight returns the weight of a new value after span in an
// exponential average with the time constant window.
func smoothingWeight(span, window time.Duration) float64 {
	return 1 - math.Exp(-float64(span)/float64(window))
}

// Demand returns the demand expected after the lead time. A rising trend is
// continued, up to 1.5 times the present level; a falling one is not.
func (f *Forecast) Demand() Demand {
	ahead := func(level, trend float64) float64 {
		return min(level+trend*f.lead.Seconds(), 1.5*level)
	}
	return Demand{Strict: ahead(f.level.Strict, f.trend.Strict), Tolerant: ahead(f.level.Tolerant, f.trend.Tolerant)}
}
