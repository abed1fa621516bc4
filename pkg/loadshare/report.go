package loadshare

import "github.com/clementineshed/clementineshed/pkg/placement"

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
	phasePrefill            = 1 // a send for prefill
	phaseDecode             = 2 // a send for decode
	phaseBlocked            = 3 // the engine takes no work for WorkMicros
	phaseEjected            = 4 // the sender has ejected the endpoint
	phaseEjectedUnreachable = 5 // the sender has ejected the endpoint and could not reach it
	phaseCached             = 6 // the engine holds the parts
	// phaseLeaving says that the endpoint, whose start time is the only entry of Parts,
	// leaves. Earlier versions take it for a send without work.
	phaseLeaving = 7
	// phasePlain is a send to a plain service. Parts and Sizes hold the hashes of the
	// endpoints that have answered the sender, and the times in microseconds. Earlier
	// versions take it for a send to an engine that they do not know.
	phasePlain = 8
)

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
