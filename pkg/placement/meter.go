package placement

import (
	"math"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// meterTimeConstant is the time constant of the smoothing. It is shorter than
// the swings of the traffic, which take seconds, and longer than one prefill.
const meterTimeConstant = 2 * time.Second

// workMeter is an exponentially weighted average of the work of both phases, in
// busy engines. A decode occupies the engine's link and one of its slots; the links
// limit engines with many slots, the slots those with few. It is not safe for
// concurrent use.
type workMeter struct {
	prefill, decodeLink, decodeSlots float64
	updatedAt                        time.Time
}

// add adds the work of a send. A decode occupies the engine's link for the time work
// and its slots for slotWork, the time of its stream divided by the number of slots.
func (w *workMeter) add(role endpoint.Role, work, slotWork time.Duration, now time.Time) {
	w.decay(now)
	amount := work.Seconds() / meterTimeConstant.Seconds()
	if role == endpoint.RoleDecode {
		w.decodeLink += amount
		w.decodeSlots += slotWork.Seconds() / meterTimeConstant.Seconds()
	} else {
		w.prefill += amount
	}
}

func (w *workMeter) decay(now time.Time) {
	if elapsed := now.Sub(w.updatedAt); elapsed > 0 {
		keep := math.Exp(-elapsed.Seconds() / meterTimeConstant.Seconds())
		w.prefill *= keep
		w.decodeLink *= keep
		w.decodeSlots *= keep
		w.updatedAt = now
	}
}

// Work returns the smoothed work of all hosts. Its unit is the number of
// engines that the work keeps busy.
func (m *Model) Work(now time.Time) roles.Work {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.work.decay(now)
	return roles.Work{Prefill: m.work.prefill, Decode: max(m.work.decodeLink, m.work.decodeSlots)}
}
