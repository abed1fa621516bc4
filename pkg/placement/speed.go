package placement

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// defaultTokensPerSecond and defaultLatency are used until enough prefills
	// have been measured.
	defaultTokensPerSecond = 50_000
	defaultLatency         = 40 * time.Millisecond
	// maxSamples is how many prefills are kept. A new fit is made after each
	// refitEvery of them.
	maxSamples = 160
	refitEvery = 8
	// minFitSamples is the least number of samples for a fit.
	minFitSamples = 16
	// These bounds limit the effect of too few or unusual samples on a fit.
	minTokensPerSecond = 15_000
	maxTokensPerSecond = 200_000
	maxLatency         = 200 * time.Millisecond
	// queuedFactor is the ratio of measured to expected time above which a
	// prefill is assumed to have queued behind unknown work.
	queuedFactor = 2.0
	// timeFactorGain is the weight of one measurement in an engine's time
	// factor. Hosts do not share the factors: dozens of hosts would choose the same
	// engines within the delay of their reports. The factor stays between 1/maxTimeFactor and maxTimeFactor,
	// because engines of one service differ by less. Prompts shorter
	// than minTimeFactorTokens are not used for it.
	timeFactorGain      = 0.1
	maxTimeFactor       = 1.6
	minTimeFactorTokens = 2500
)

// TakePrefillSample returns the last prefill that this host has measured since the last
// call, for the other hosts.
//
// Load pattern: dozens of hosts that each see two or three prefills a second, most of
// them at engines that are busy. A host alone needs ten seconds and more for its first
// fit, in which it takes prefills to be half as long as they are.
func (m *Model) TakePrefillSample() (PrefillSample, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sample := m.speed.unreported
	m.speed.unreported = PrefillSample{}
	return sample, sample.Tokens > 0
}

// ApplyPeerPrefill adds a prefill that another host has measured.
func (m *Model) ApplyPeerPrefill(sample PrefillSample) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sample.Tokens > 0 && sample.Took > 0 && sample.Took <= maxQueueWait {
		m.speed.add(float64(sample.Tokens), sample.Took.Seconds())
	}
}

// prefillSpeed estimates how long prefills take: a latency, during which the
// engine can run other prefills, and a time proportional to the uncached
// tokens. It is fitted to the prefills that found an idle engine. It is not
// safe for concurrent use.
type prefillSpeed struct {
	latency         time.Duration
	tokensPerSecond float64
	// sizes and times are the last samples, in tokens and seconds. nextSample
	// is the index of the oldest one once maxSamples are stored.
	sizes, times []float64
	// sinceFit counts the samples since the last fit.
	nextSample, sinceFit int
	// unreported is the last sample of this host that TakePrefillSample has not
	// returned; its Tokens are zero if there is none.
	unreported PrefillSample
}

// PrefillSample is the time of a prefill at an idle engine.
type PrefillSample struct {
	Tokens int
	Took   time.Duration
}

func newPrefillSpeed() prefillSpeed {
	return prefillSpeed{latency: defaultLatency, tokensPerSecond: defaultTokensPerSecond}
}

// prefillTime returns how long an engine with the time factor is busy with the
// prefill of tokens.
func (s *prefillSpeed) prefillTime(tokens int, factor float64) time.Duration {
	return time.Duration(float64(tokens) * factor / s.tokensPerSecond * float64(time.Second))
}

// observe adds a prefill at an idle engine and returns the engine's new time
// factor.
func (s *prefillSpeed) observe(tokens int, took time.Duration, factor float64) float64 {
	expected := s.latency + s.prefillTime(tokens, factor)
	if took > time.Duration(queuedFactor*float64(expected)) && len(s.sizes) >= minFitSamples {
		return factor
	}
	s.add(float64(tokens), took.Seconds())
	s.unreported = PrefillSample{tokens, took}
	if tokens >= minTimeFactorTokens {
		measured := (took - s.latency).Seconds() / s.prefillTime(tokens, 1).Seconds()
		measured = min(max(measured, 1/maxTimeFactor), maxTimeFactor)
		factor += timeFactorGain * (measured - factor)
	}
	return factor
}

func (s *prefillSpeed) add(tokens, seconds float64) {
	if len(s.sizes) < maxSamples {
		s.sizes, s.times = append(s.sizes, tokens), append(s.times, seconds)
	} else {
		s.sizes[s.nextSample], s.times[s.nextSample] = tokens, seconds
		s.nextSample = (s.nextSample + 1) % maxSamples
	}
	if s.sinceFit++; s.sinceFit >= refitEvery && len(s.sizes) >= minFitSamples {
		s.sinceFit = 0
		s.fit()
	}
}

func (s *prefillSpeed) fit() {
	latency, perToken := stat.LinearRegression(s.sizes, s.times, nil, false)
	if !(perToken > 0) || math.IsInf(perToken, 0) {
		// The slope is NaN if all prompts have the same size.
		return
	}
	s.tokensPerSecond = min(max(1/perToken, minTokensPerSecond), maxTokensPerSecond)
	s.latency = min(max(0, time.Duration(latency*float64(time.Second))), maxLatency)
}
