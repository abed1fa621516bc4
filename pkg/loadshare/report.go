package loadshare

import (
	"github.com/clementineshed/clementineshed/pkg/outlier"
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
	// phasePlain is a send to a plain service. Parts and Sizes hold the hashes of the
	// endpoints that have answered the sender, and the times in microseconds. Earlier
	// versions take it for a send to an engine that they do not know.
	phasePlain = 8
)

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
