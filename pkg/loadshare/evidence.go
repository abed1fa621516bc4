package loadshare

import (
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementineshed/clementineshed/pkg/quarantine"
)

// evidenceHeader is the first byte of the encoding of an evidence (RFC 8949, an array
// of two elements).
const evidenceHeader = 0x82

// featuresPerDatagram keeps a datagram with evidence within maxDatagramBytes.
const featuresPerDatagram = 32

// evidence is a datagram about requests that crash endpoints. It is sent to each peer
// directly and at once: each moment may cost another endpoint.
type evidence struct {
	_       struct{} `cbor:",toarray"`
	Crashes []quarantine.Evidence
	// Refuted are the features of requests that have completed.
	Refuted []quarantine.Feature
}

// ReportCrashes sends the evidence of crashes of endpoints.
func (x *Exchange) ReportCrashes(crashes []quarantine.Evidence) {
	var batch evidence
	features := 0
	for _, e := range crashes {
		for running := range slices.Chunk(e.Running, featuresPerDatagram) {
			// The name of an endpoint takes about as much as two features.
			size := len(running) + 2
			if features > 0 && features+size > featuresPerDatagram+2 {
				x.sendEvidence(batch)
				batch, features = evidence{}, 0
			}
			part := e
			part.Running = running
			batch.Crashes = append(batch.Crashes, part)
			features += size
		}
	}
	if features > 0 {
		x.sendEvidence(batch)
	}
}

// ReportRefuted sends the features of requests that have completed.
func (x *Exchange) ReportRefuted(features []quarantine.Feature) {
	for part := range slices.Chunk(features, featuresPerDatagram) {
		x.sendEvidence(evidence{Refuted: part})
	}
}

func (x *Exchange) sendEvidence(e evidence) {
	data, err := cbor.Marshal(e)
	if err != nil {
		x.opts.Log.WithError(err).Error("evidence_not_encoded")
		return
	}
	x.send(data, x.addresses())
}

func (x *Exchange) receiveEvidence(data []byte) {
	var e evidence
	if err := cbor.Unmarshal(data, &e); err != nil {
		x.opts.Log.WithError(err).Warn("evidence_not_readable")
		return
	}
	for _, crash := range e.Crashes {
		x.opts.OnCrash(crash)
	}
	if len(e.Refuted) > 0 {
		x.opts.OnRefuted(e.Refuted)
	}
}
