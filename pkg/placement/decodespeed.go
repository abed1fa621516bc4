package placement

import (
	"math"
	"time"
)

const (
	// minDecodeTokens is the least output of a stream whose duration is used. The time
	// of shorter ones is mostly that of the transfer and the first token.
	minDecodeTokens = 16
	// decodeGain is the weight of one stream in an engine's means, fleetDecodeGain that
	// in the means of all engines. The first ones weigh more, so that a new engine is
	// known after a few streams.
	decodeGain      = 0.15
	fleetDecodeGain = 0.01
	// decodeLife is the time constant with which an engine's mean time returns to that
	// of all engines without new streams. An engine that only paused would otherwise
	// never be used again.
	decodeLife = 8 * time.Second
	// maxDecodeRatio bounds one measurement relative to the mean of all engines, in both
	// directions. Engines of one service differ by 0.6 to 1.6, and some pause for a
	// multiple of that.
	maxDecodeRatio = 4.0
	// fullLoadGrowth is the relative growth of the time per token from an idle engine to
	// one with all its slots taken. It is assumed: the number of streams that a host
	// knows is too uncertain to measure it.
	fullLoadGrowth = 1.5
	// minLoadRatio bounds the effect of fewer streams than the mean.
	minLoadRatio = 0.3
)

// DecodeSample is the duration of one complete stream.
type DecodeSample struct {
	EngineID string
	// Tokens is the output limit of the request, Streams the number of streams that
	// the engine ran meanwhile, this one included.
	Tokens, Streams int
	Took            time.Duration
}

// decodeMean holds the smoothed time per output token, in seconds, and the smoothed
// number of streams at which it was measured.
type decodeMean struct {
	perToken, streams float64
	samples           int
	at                time.Time
}

func (d *decodeMean) add(perToken, streams, gain float64, now time.Time) {
	d.samples++
	gain = max(gain, 1/float64(d.samples))
	d.perToken += gain * (perToken - d.perToken)
	d.streams += gain * (streams - d.streams)
	d.at = now
}

// decodeSpeed estimates how long engines take to decode: a mean for each engine, see
// engine.decode, and one of all engines. It is not safe for concurrent use.
//
// Load pattern: engines of one service that differ in speed by a factor of almost
// three, under outputs of very different length. If the choice ignores this, the
// longest outputs miss their deadlines at the slowest engines while the fastest are
// nearly idle. With dozens of hosts each sees too few streams of an engine, so the
// hosts share their samples.
type decodeSpeed struct{ fleet decodeMean }

// meanAt returns the engine's mean, moved towards that of all engines by the time since
// its last stream.
func (s *decodeSpeed) meanAt(e *engine, now time.Time) decodeMean {
	if e.decode.samples == 0 {
		return s.fleet
	}
	mean := e.decode
	keep := math.Exp(-max(0, now.Sub(mean.at)).Seconds() / decodeLife.Seconds())
	mean.perToken = s.fleet.perToken + keep*(mean.perToken-s.fleet.perToken)
	mean.streams = s.fleet.streams + keep*(mean.streams-s.fleet.streams)
	return mean
}

func (s *decodeSpeed) observe(e *engine, sample DecodeSample, now time.Time) {
	perToken, streams := sample.Took.Seconds()/float64(sample.Tokens), float64(sample.Streams)
	if s.fleet.samples > 0 {
		perToken = min(max(perToken, s.fleet.perToken/maxDecodeRatio), s.fleet.perToken*maxDecodeRatio)
	}
	if e.decode.samples > 0 {
		e.decode = s.meanAt(e, now)
	}
	e.decode.add(perToken, streams, decodeGain, now)
	s.fleet.add(perToken, streams, fleetDecodeGain, now)
}

// ObserveDecode records the end of a complete stream of this host and returns the
// sample for the other hosts. It returns false if the stream tells nothing of the
// engine's speed.
func (m *Model) ObserveDecode(s *InFlightSend, tokens int, now time.Time) (DecodeSample, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[s.engineID]
	if e == nil || tokens < minDecodeTokens {
		return DecodeSample{}, false
	}
	sample := DecodeSample{EngineID: s.engineID, Tokens: tokens, Streams: max(1, (s.streams+e.activeStreams(now))/2), Took: now.Sub(s.sentAt) - s.work}
	if sample.Took <= 0 {
		return DecodeSample{}, false
	}
	m.decodeSpeed.observe(e, sample, now)
	return sample, true
}

// ApplyPeerDecode applies the sample of another host. Samples that cannot be right are
// ignored.
func (m *Model) ApplyPeerDecode(sample DecodeSample, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[sample.EngineID]
	if e == nil || sample.Tokens < minDecodeTokens || sample.Took <= 0 || sample.Streams < 1 {
		return
	}
	m.decodeSpeed.observe(e, sample, now)
}

// decodeCost returns the expected time to decode the output of a job at e, and what this
// takes from the streams that run there: otherwise short outputs would fill the fast
// engines until these are no faster than the others. It is zero if the speed is not
// known. It must be called with mu held.
func (m *Model) decodeCost(e *engine, job Job, now time.Time) time.Duration {
	mean, slope := m.decodeSpeed.meanAt(e, now), fullLoadGrowth/float64(m.slots())
	streams := float64(e.activeStreams(now))
	load := max(minLoadRatio, 1+slope*(streams+1-mean.streams))
	return time.Duration(float64(job.OutputTokens) * mean.perToken * (load + slope*streams) * float64(time.Second))
}

// DecodeTimes returns the time per output token of the engines for which streams were
// observed, relative to the mean of all engines, by their ID.
func (m *Model) DecodeTimes(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	times := map[string]float64{}
	for id, e := range m.engines {
		if e.decode.samples > 0 && m.decodeSpeed.fleet.perToken > 0 {
			times[id] = m.decodeSpeed.meanAt(e, now).perToken / m.decodeSpeed.fleet.perToken
		}
	}
	return times
}
