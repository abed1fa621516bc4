package placement

import (
	"math"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// meterSpan is the time constant of the smoothed work. It is shorter than the
// swings of the traffic, which take seconds, and longer than a prompt.
const meterSpan = 2 * time.Second

// meter smooths the work of both phases, in engines that it keeps busy.
type meter struct {
	prefill, decode float64
	at              time.Time
}

func (w *meter) add(role endpoint.Role, work time.Duration, now time.Time) {
	w.decay(now)
	amount := work.Seconds() / meterSpan.Seconds()
	if role == endpoint.RoleDecode {
		w.decode += amount
	} else {
		w.prefill += amount
	}
}

func (w *meter) decay(now time.Time) {
	if elapsed := now.Sub(w.at); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / meterSpan.Seconds())
		w.prefill *= keep
		w.decode *= keep
		w.at = now
	}
}

// Work returns the smoothed work of all hosts, in busy engines.
func (m *Model) Work(now time.Time) roles.Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work.decay(now)
	return roles.Work{Prefill: m.work.prefill, Decode: m.work.decode}
}
