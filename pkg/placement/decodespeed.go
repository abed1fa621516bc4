package placement

import (
	"math"
	"time"
)

const (
	// minDecodeEvents is the least number of events after the first for which a stream's
	// duration is used. An event that is held up on the way weighs too much in fewer.
	minDecodeEvents = 3
	// outputGain is the weight of one stream in the mean output of its limit, maxOutputs
	// the number of limits for which a mean is kept.
	outputGain = 0.02
	maxOutputs = 64
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
	// OutputLimit is the limit of the request's output in tokens, Events the number of
	// events after the first one, which took the time Took. Streams is the number of
	// streams that the engine ran meanwhile, this one included.
	OutputLimit, Events, Streams int
	Took                         time.Duration
}

// decodeMean holds the smoothed time per event, in seconds, and the smoothed
// number of streams at which it was measured.
type decodeMean struct {
	perEvent, streams float64
	samples           int
	at                time.Time
}

func (d *decodeMean) add(perEvent, streams, gain float64, now time.Time) {
	d.samples++
	gain = max(gain, 1/float64(d.samples))
	d.perEvent += gain * (perEvent - d.perEvent)
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
type decodeSpeed struct {
	fleet decodeMean
	// outputs holds the mean number of events by the limit of the output. The limit
	// itself says little: few outputs reach it.
	outputs map[int]float64
}

// meanAt returns the engine's mean, moved towards that of all engines by the time since
// its last stream.
func (s *decodeSpeed) meanAt(e *engine, now time.Time) decodeMean {
	if e.decode.samples == 0 {
		return s.fleet
	}
	mean := e.decode
	keep := math.Exp(-max(0, now.Sub(mean.at)).Seconds() / decodeLife.Seconds())
	mean.perEvent = s.fleet.perEvent + keep*(mean.perEvent-s.fleet.perEvent)
	mean.streams = s.fleet.streams + keep*(mean.streams-s.fleet.streams)
	return mean
}

func (s *decodeSpeed) observe(e *engine, sample DecodeSample, now time.Time) {
	perEvent, streams := sample.Took.Seconds()/float64(sample.Events), float64(sample.Streams)
	if s.fleet.samples > 0 {
		perEvent = min(max(perEvent, s.fleet.perEvent/maxDecodeRatio), s.fleet.perEvent*maxDecodeRatio)
	}
	if e.decode.samples > 0 {
		e.decode = s.meanAt(e, now)
	}
	s.observeOutput(sample)
	e.decode.add(perEvent, streams, decodeGain, now)
	s.fleet.add(perEvent, streams, fleetDecodeGain, now)
}

func (s *decodeSpeed) observeOutput(sample DecodeSample) {
	mean, known := s.outputs[sample.OutputLimit]
	switch {
	case known:
		s.outputs[sample.OutputLimit] = mean + outputGain*(float64(sample.Events)-mean)
	case len(s.outputs) < maxOutputs:
		s.outputs[sample.OutputLimit] = float64(sample.Events)
	}
}

// ObserveDecode records a complete stream of this host and returns the sample for the
// other hosts. It returns false if the stream tells nothing of the engine's speed.
// events and took are as in DecodeSample.
func (m *Model) ObserveDecode(s *InFlightSend, outputLimit, events int, took time.Duration, now time.Time) (DecodeSample, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[s.engineID]
	if e == nil {
		return DecodeSample{}, false
	}
	sample := DecodeSample{EngineID: s.engineID, OutputLimit: outputLimit, Events: events, Streams: max(1, (s.streams+e.activeStreams(now))/2), Took: took}
	return sample, m.observeDecode(sample, now)
}

// ApplyPeerDecode applies the sample of another host.
func (m *Model) ApplyPeerDecode(sample DecodeSample, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.observeDecode(sample, now)
}

// observeDecode reports whether the sample was used. It must be called with mu held.
func (m *Model) observeDecode(sample DecodeSample, now time.Time) bool {
	e := m.engines[sample.EngineID]
	if e == nil || sample.OutputLimit <= 0 || sample.Events < minDecodeEvents || sample.Streams < 1 || sample.Took <= 0 {
		return false
	}
	m.decodeSpeed.observe(e, sample, now)
	return true
}

// decodeTime returns the expected time to decode the output of a job at e, and what this
// takes from the streams that run there: otherwise short outputs would fill the fast
// engines until these are no faster than the others. Both are zero if the speed is not
// known. It must be called with mu held.
func (m *Model) decodeTime(e *engine, job Job, now time.Time) (own, others time.Duration) {
	mean, slope := m.decodeSpeed.meanAt(e, now), fullLoadGrowth/float64(m.slots())
	streams := float64(e.activeStreams(now))
	load := max(minLoadRatio, 1+slope*(streams+1-mean.streams))
	idle := time.Duration(m.decodeSpeed.outputs[job.OutputLimit] * mean.perEvent * float64(time.Second))
	return time.Duration(load * float64(idle)), time.Duration(slope * streams * float64(idle))
}

// DecodeTimes returns the time per event of the engines for which streams were
// observed, relative to the mean of all engines, by their ID.
func (m *Model) DecodeTimes(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	times := map[string]float64{}
	for id, e := range m.engines {
		if e.decode.samples > 0 && m.decodeSpeed.fleet.perEvent > 0 {
			times[id] = m.decodeSpeed.meanAt(e, now).perEvent / m.decodeSpeed.fleet.perEvent
		}
	}
	return times
}
