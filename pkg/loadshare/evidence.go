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

// ReportCrash sends the evidence of a crash of an endpoint.
func (x *Exchange) ReportCrash(e quarantine.Evidence) {
	for running := range slices.Chunk(e.Running, featuresPerDatagram) {
		part := e
		part.Running = running
		x.sendEvidence(evidence{Crashes: []quarantine.Evidence{part}})
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
