package roles

import "time"

// PeakHold keeps the largest value of the last Window. It suits a load that swings
// within seconds: an engine that changed its role after each burst would be out of
// service at the next one. It is not safe for concurrent use.
type PeakHold struct {
	// Window is how long a value counts.
	Window time.Duration
	// samples have falling values and rising times.
	samples []sample
}

type sample struct {
	value float64
	at    time.Time
}

// Observe adds a value and returns the largest one of the last Window.
func (p *PeakHold) Observe(value float64, now time.Time) float64 {
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].value <= value {
		p.samples = p.samples[:len(p.samples)-1]
	}
	p.samples = append(p.samples, sample{value, now})
	for now.Sub(p.samples[0].at) > p.Window {
		p.samples = p.samples[1:]
	}
	return p.samples[0].value
}
