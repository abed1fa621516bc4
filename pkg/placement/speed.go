package placement

import (
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
)

const (
	// defaultSpeedTokens is the prompt tokens a second, and defaultLatency the
	// rest of a prefill, as long as nothing has been measured.
	defaultSpeedTokens = 50_000
	defaultLatency     = 40 * time.Millisecond
	// speedSamples is how many prefills are remembered; refitEvery of them are
	// collected between two fits.
	speedSamples = 160
	refitEvery   = 8
	// minSamples is the least number for a fit.
	minSamples = 16
	// leastSpeed to mostSpeed, and mostLatency, bound a fit that few or unusual
	// samples have spoiled.
	leastSpeed  = 15_000
	mostSpeed   = 200_000
	mostLatency = 200 * time.Millisecond
	// waitedFactor is how much longer than expected a prefill may take before it
	// counts as one that waited for work that was not known.
	waitedFactor = 2.0
	// factorGain weighs one measurement of an engine against the fleet; engines of
	// one service differ by less than factorRange.
	factorGain   = 0.1
	factorRange  = 1.6
	factorTokens = 2500
)

// speed is the time that prefills take: a latency, during which the engine reads
// other prompts, and the reading itself. It is fitted to the prefills that found
// an idle engine. It is not safe for concurrent use.
type speed struct {
	latency time.Duration
	// tokens is the prompt tokens a second.
	tokens float64
	// sizes and times are the last samples, in tokens and seconds; next is where
	// the coming one goes once they are full.
	sizes, times []float64
	next, fresh  int
}

func newSpeed() speed { return speed{latency: defaultLatency, tokens: defaultSpeedTokens} }

// reading is how long an engine with the factor reads tokens.
func (s *speed) reading(tokens int, factor float64) time.Duration {
	return time.Duration(float64(tokens) * factor / s.tokens * float64(time.Second))
}

// observe notes a prefill at an idle engine and returns the engine's new factor.
func (s *speed) observe(tokens int, took time.Duration, factor float64) float64 {
	expected := s.latency + s.reading(tokens, factor)
	if took > time.Duration(waitedFactor*float64(expected)) && len(s.sizes) >= minSamples {
		return factor
	}
	s.add(float64(tokens), took.Seconds())
	if tokens >= factorTokens {
		seen := (took - s.latency).Seconds() / s.reading(tokens, 1).Seconds()
		seen = min(max(seen, 1/factorRange), factorRange)
		factor += factorGain * (seen - factor)
	}
	return factor
}

func (s *speed) add(tokens, seconds float64) {
	if len(s.sizes) < speedSamples {
		s.sizes, s.times = append(s.sizes, tokens), append(s.times, seconds)
	} else {
		s.sizes[s.next], s.times[s.next] = tokens, seconds
		s.next = (s.next + 1) % speedSamples
	}
	if s.fresh++; s.fresh >= refitEvery && len(s.sizes) >= minSamples {
		s.fresh = 0
		s.fit()
	}
}

func (s *speed) fit() {
	latency, perToken := stat.LinearRegression(s.sizes, s.times, nil, false)
	if !(perToken > 0) || math.IsInf(perToken, 0) {
		// Prompts of one size have no slope; the fit is not a number.
		return
	}
	s.tokens = min(max(1/perToken, leastSpeed), mostSpeed)
	s.latency = min(max(0, time.Duration(latency*float64(time.Second))), mostLatency)
}
