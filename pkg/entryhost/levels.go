package entryhost

import (
	"sync/atomic"

	"github.com/clementineshed/clementineshed/pkg/burn"
	"github.com/clementineshed/clementineshed/pkg/gate"
)

// serviceLevels counts how requests meet the targets of their class.
type serviceLevels struct {
	host     *Host
	recorder *burn.Recorder
	// endedByOutcome counts requests by gate.Outcome.
	endedByOutcome [gate.OutcomeCallerGone + 1]atomic.Int64
}

func newServiceLevels(h *Host) *serviceLevels {
	return &serviceLevels{host: h, recorder: burn.NewRecorder(h.clock)}
}

// record counts an ended request. A request whose caller disconnected spends no
// error budget, since it is unknown whether its response would have been in
// time.
func (l *serviceLevels) record(e gate.RequestRecord) {
	l.endedByOutcome[e.Outcome].Add(1)
	if e.Outcome == gate.OutcomeCallerGone {
		return
	}
	l.recorder.Record(e.Class, e.Team, l.outcome(e), e.TimeToFirstToken, e.TimePerOutputToken, e.CompletionTime)
}

func (l *serviceLevels) outcome(e gate.RequestRecord) burn.Outcome {
	switch e.Outcome {
	case gate.OutcomeComplete:
		class, ok := l.host.store.View().Class(e.Class)
		if !ok {
			return burn.InTime
		}
		return burn.ClassifyAnswer(*class, e.TimeToFirstToken, e.TimePerOutputToken, e.CompletionTime)
	case gate.OutcomeRefused:
		return burn.Refused
	case gate.OutcomeUnknown:
		return burn.Unknown
	default:
		return burn.Failed
	}
}

// snapshot returns the counters, which can be merged with those of other hosts.
func (l *serviceLevels) snapshot() burn.Snapshot { return l.recorder.Snapshot() }

func (l *serviceLevels) totals() map[string]int64 {
	names := [...]string{"whole", "refused", "failed", "unknown", "caller_gone"}
	totals := map[string]int64{}
	for i, name := range names {
		totals[name] = l.endedByOutcome[i].Load()
	}
	return totals
}
