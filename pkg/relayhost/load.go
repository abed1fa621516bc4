package relayhost

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// minLoadedWork is the work of a service, in busy engines, from which on it counts as
// loaded.
const minLoadedWork = 0.1

// serviceLoad is what the lease holder has observed of the work of a service with
// engines. Its zero value is that of a service without work.
type serviceLoad struct {
	// work is the present work, peak the largest work of each phase in the last
	// SplitRolePolicy.PeakWindow.
	work, peak roles.Work
	// loadedSince is since when the service has been loaded; zero if it is not.
	loadedSince time.Time

	prefill, decode roles.PeakHold
}

func (l *serviceLoad) loaded() bool { return !l.loadedSince.IsZero() }

func (l *serviceLoad) observe(work roles.Work, now time.Time) {
	l.work = work
	l.peak = roles.Work{Prefill: l.prefill.Observe(work.Prefill, now), Decode: l.decode.Observe(work.Decode, now)}
	if work.Prefill+work.Decode <= minLoadedWork {
		l.loadedSince = time.Time{}
	} else if !l.loaded() {
		l.loadedSince = now
	}
}

// observeLoad observes the present work of a service. Both decisions that depend on it
// observe anew, because the orders of the first may take seconds. A service without
// engines has no load.
func (d *duties) observeLoad(s routes.Service, now time.Time) *serviceLoad {
	if s.Engine == nil {
		return &serviceLoad{}
	}
	l := d.loads[s.Name]
	if l == nil {
		peak := roles.PeakHold{Window: d.roles.PeakWindow}
		l = &serviceLoad{prefill: peak, decode: peak}
		d.loads[s.Name] = l
	}
	l.observe(d.host.models.For(s.Name).Work(now), now)
	return l
}
