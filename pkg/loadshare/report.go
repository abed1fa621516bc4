package loadshare

import (
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
)

// report is a placement.SendReport for a service, or the change of an endpoint's
// state.
type report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Engine  string
	// Phase is one of the constants below. Parts and Sizes hold the IDs and the
	// tokens of the placement.Parts of a send.
	Phase      uint8
	WorkMicros int64
	Parts      []uint64
	Sizes      []int
}

const (
	phasePrefill = 1 // a send for prefill
	phaseDecode  = 2 // a send for decode
	phaseBlocked = 3 // the engine takes no work for WorkMicros
	// phaseEjected and phaseEjectedUnreachable say that the sender has ejected the
	// endpoint, and whether it could not reach it. The only entry of Parts is the
	// outlier.FailureKind; earlier versions send none.
	phaseEjected            = 4
	phaseEjectedUnreachable = 5
	phaseCached             = 6 // the engine holds the parts
	// phaseLeaving says that the endpoint, whose start time is the only entry of Parts,
	// leaves. Earlier versions take it for a send without work.
	phaseLeaving = 7
	// phasePace holds what the sender has learned of a limited endpoint: Parts are its
	// start time, the answers in time, the late ones, the refusals, the sender's window
	// in thousandths and the reason. It has no Sizes, so that earlier
	// versions ignore it.
	phasePace = 8
	// phaseDecoded tells the duration of a stream, see decodedReport. Earlier versions
	// take it for a send without work.
	phaseDecoded = 12
	// phasePrefilled tells the time of a prefill at an idle engine: Parts are its tokens
	// and its time in microseconds. It has no Sizes, so that earlier versions ignore it.
	phasePrefilled = 13
	// phasePlain is a send to a plain service. Parts and Sizes hold the hashes of the
	// endpoints that have answered the sender, and the times in microseconds. Earlier
	// versions take it for a send to an engine that they do not know.
	phasePlain = 10
	// phaseTeamWork holds the work of a team that the sender has sent to engines, in
	// microseconds. Engine is the team. It has no Sizes, so that earlier versions
	// ignore it.
	phaseTeamWork = 14
)

// scale is the unit of fractions in reports.
const scale = 1000

// paceReport returns the report of what this host has learned of a limited endpoint.
func paceReport(p pace.Report, startedMillis int64) report {
	return report{Service: p.Service, Engine: p.ID, Phase: phasePace, Parts: []uint64{uint64(startedMillis),
		uint64(p.Counts.Good), uint64(p.Counts.Late), uint64(p.Counts.Refused), uint64(p.Window * scale), uint64(p.Reason)}}
}

// pace returns the content of a report with phasePace, and the endpoint's start time.
func (r report) pace() (pace.Report, int64, bool) {
	if len(r.Parts) != 6 || slices.Max(r.Parts[1:]) > math.MaxInt32 || r.Parts[5] > math.MaxUint8 {
		return pace.Report{}, 0, false
	}
	return pace.Report{Service: r.Service, ID: r.Engine, Reason: pace.Reason(r.Parts[5]), Window: float64(r.Parts[4]) / scale,
		Counts: pace.Counts{Good: int(r.Parts[1]), Late: int(r.Parts[2]), Refused: int(r.Parts[3])}}, int64(r.Parts[0]), true
}

// failureKind returns the kind of failure of a report of an ejection.
func (r report) failureKind() outlier.FailureKind {
	if len(r.Parts) == 1 && r.Parts[0] <= uint64(outlier.Refused) {
		return outlier.FailureKind(r.Parts[0])
	}
	if r.Phase == phaseEjectedUnreachable {
		return outlier.Unreachable
	}
	return outlier.BadAnswer
}

// setAnswers sets the answers of plain endpoints.
func (r *report) setAnswers(answers []placement.AnswerTime) {
	for _, a := range answers {
		r.Parts = append(r.Parts, a.EndpointHash)
		r.Sizes = append(r.Sizes, int(a.Micros))
	}
}

// answers returns the answers of a report, whose Parts and Sizes have the same length.
func (r report) answers() []placement.AnswerTime {
	var answers []placement.AnswerTime
	for i, hash := range r.Parts {
		answers = append(answers, placement.AnswerTime{EndpointHash: hash, Micros: int64(r.Sizes[i])})
	}
	return answers
}

// teamReport returns the report of a team's work.
func teamReport(service, team string, ms float64) report {
	return report{Service: service, Engine: team, Phase: phaseTeamWork, Parts: []uint64{uint64(ms * scale)}}
}

// teamWork returns the work in milliseconds of a report with phaseTeamWork.
func (r report) teamWork() (float64, bool) {
	if len(r.Parts) != 1 || r.Parts[0] > math.MaxInt32 {
		return 0, false
	}
	return float64(r.Parts[0]) / scale, true
}

// setParts sets the parts that the engine holds once the report is applied.
func (r *report) setParts(parts []placement.Part) {
	for _, p := range parts {
		r.Parts = append(r.Parts, p.ID)
		r.Sizes = append(r.Sizes, p.Tokens)
	}
}

// parts returns the parts of a report, whose Parts and Sizes have the same length.
func (r report) parts() []placement.Part {
	var parts []placement.Part
	for i, id := range r.Parts {
		parts = append(parts, placement.Part{ID: id, Tokens: r.Sizes[i]})
	}
	return parts
}

// decodedReport returns the report of a stream. Its Parts hold the duration in
// microseconds, the number of streams at the engine, of events and the limit of the output.
func decodedReport(service string, s placement.DecodeSample) report {
	return report{Service: service, Engine: s.EngineID, Phase: phaseDecoded,
		Parts: []uint64{uint64(s.Took.Microseconds()), uint64(s.Streams), uint64(s.Events), uint64(s.OutputLimit)}, Sizes: make([]int, 4)}
}

// decodeSample returns the stream of a report of phaseDecoded, and false if the report
// has another form.
func (r report) decodeSample() (placement.DecodeSample, bool) {
	if len(r.Parts) != 4 || slices.Max(r.Parts) > math.MaxInt32 {
		return placement.DecodeSample{}, false
	}
	return placement.DecodeSample{EngineID: r.Engine, Took: time.Duration(r.Parts[0]) * time.Microsecond,
		Streams: int(r.Parts[1]), Events: int(r.Parts[2]), OutputLimit: int(r.Parts[3])}, true
}

// prefillSample returns the content of a report with phasePrefilled.
func (r report) prefillSample() (placement.PrefillSample, bool) {
	if len(r.Parts) != 2 || r.Parts[0] == 0 || slices.Max(r.Parts) > math.MaxInt32 {
		return placement.PrefillSample{}, false
	}
	return placement.PrefillSample{Tokens: int(r.Parts[0]), Took: time.Duration(r.Parts[1]) * time.Microsecond}, true
}
