package lease

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// Eras of the lease stream.
//
// A log that has come back from an older copy has lost the latest records and gives out
// their offsets again, in a new era. Each record states the era that its writer read in,
// and counts only in a view of exactly that era. Such a record was appended in that era:
// its writer had seen the era, and the view reads it before the next one. So the views of
// one era agree as if the stream had begun with it, a writer that finds its claim lost or
// appended in a later era never holds by it, and no two claims that count have the same
// era and offset.
//
// All leases end with an era. A holder that has not read the new era yet is bounded by
// its lease duration. A view that has seen an earlier era therefore lets the lease
// duration and the margin pass before its first claim.

const (
	// offsetBits is the number of bits of a fencing token that hold the offset of the
	// claim. The era is above them, so that tokens rise with the era: 36 bits last for
	// seven years at AppendBudget records a second.
	offsetBits = 36
	// maxEra keeps tokens below 1<<53, as they travel as JSON numbers.
	maxEra = 1<<(53-offsetBits) - 1
)

// fenceOf returns the fencing token of a claim. It reports false if the token would not
// be unique.
func fenceOf(era, offset int64) (int64, bool) {
	if era == 0 {
		return offset, true
	}
	return era<<offsetBits | offset, era <= maxEra && offset < 1<<offsetBits
}

// eraStarted begins the view of an era.
func (s *streamState) eraStarted(start logservice.EraStart, now time.Time) {
	s.era = start.Era
	if start.Restored {
		s.leases = map[Key]*lease{}
		s.start, s.startAt = start.Oldest, now
		s.afterEarlierEra = true
	}
}

// noteEarlierEra records that the log was in use in another era. A holder of that era may
// be unknown to this view.
func (s *streamState) noteEarlierEra() {
	if s.afterEarlierEra {
		return
	}
	s.afterEarlierEra = true
	for _, l := range s.leases {
		if !l.held {
			l.predecessors = []Term{{Holder: UnknownHolder}}
		}
	}
}

func (m *Manager) eraStarted(start logservice.EraStart) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disabled.noEras {
		return
	}
	m.state.eraStarted(start, m.opts.Clock.Now())
	if start.Era > maxEra {
		m.opts.Log.WithField("era", start.Era).Error("lease_era_too_high")
	}
	if !start.Restored {
		return
	}
	for _, o := range m.ownLeases {
		clear(o.pending)
		o.deadline, o.deadlineWall = time.Time{}, time.Time{}
		o.fence, o.releasedFence = none, none
	}
}
