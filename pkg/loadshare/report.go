package loadshare

import (
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/placement"
)

// report is a placement.SendReport for a service, or the change of an engine's
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
	// phaseDecoded tells the duration of a stream, see decodedReport. Earlier versions
	// take it for a send without work.
	phaseDecoded = 12
)

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
