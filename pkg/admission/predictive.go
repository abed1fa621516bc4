package admission

import "time"

const (
	// MinRetryAfter and MaxRetryAfter bound Verdict.RetryAfter. It is sent to
	// callers in whole seconds, and predictions beyond a minute are not
	// meaningful.
	MinRetryAfter = time.Second
	MaxRetryAfter = time.Minute
)

// Predictive accepts a request if its predicted service meets the class's
// limits, holds it if a later send can still meet them, and refuses it
// otherwise.
type Predictive struct {
	// Margin, 0 to 1, is the fraction of the first-token limit that a prediction
	// may use. The rest covers load that reports do not show yet.
	Margin float64
	// BetweenMargin is the same fraction of the limit between tokens. It may be
	// above 1.
	BetweenMargin float64
	// NeighbourMargin, 0 to 1, is the fraction of Input.NeighbourLimit up to
	// which a request without its own limit between tokens is accepted. Above
	// it, the request would slow down the streams of other classes. 0 disables
	// the check.
	NeighbourMargin float64
	// Reserve, 0 to 1, is the fraction of Margin that is reserved for teams
	// within their share. Teams over their share may use only the rest, so that
	// another team gets its share back at once.
	Reserve float64
}

// DefaultPredictive returns the default policy. BetweenMargin is above 1 because
// the predicted time between tokens is that of a stream that starts now, which
// is a little slower than the mean of the running streams.
func DefaultPredictive() Predictive {
	return Predictive{Margin: 0.8, BetweenMargin: 1.05, NeighbourMargin: 0.85, Reserve: 0.2}
}

// Decide implements Policy.
func (p Predictive) Decide(in Input) Verdict {
	if p.meetsLimits(in) {
		return Verdict{Action: Accept}
	}
	if p.canStillMeet(in) {
		return Verdict{Action: Hold}
	}
	return Verdict{Action: Refuse, RetryAfter: p.retryAfter(in)}
}

func (p Predictive) meetsLimits(in Input) bool {
	if !in.Routed {
		return false
	}
	margin := p.Margin
	if in.OverShare {
		margin *= 1 - p.Reserve
	}
	if limit := in.Class.FirstToken.Std(); limit > 0 && in.Waited+in.HeldAhead+in.FirstToken > p.usableLimit(limit, margin, in.Service) {
		return false
	}
	if limit := in.Class.BetweenTokens.Std(); limit > 0 && in.BetweenTokens > scale(limit, p.BetweenMargin) {
		return false
	}
	if in.Class.BetweenTokens == 0 && p.NeighbourMargin > 0 && in.NeighbourLimit > 0 &&
		in.BetweenTokens > scale(in.NeighbourLimit, p.NeighbourMargin) {
		return false
	}
	limit := in.Class.Completion.Std()
	return limit == 0 || in.Waited+in.FirstToken+in.Remaining <= limit
}

// usableLimit returns the part of a limit that a prediction may use. It leaves
// enough time beyond service that a long prompt on an idle engine is never
// refused because of the margin alone.
func (p Predictive) usableLimit(limit time.Duration, margin float64, service time.Duration) time.Duration {
	return min(limit, max(scale(limit, margin), service+scale(limit-service, margin/2)))
}

// canStillMeet reports whether the request can meet its first-token limit, or
// its completion limit if it has no other, once the held requests ahead of it
// are served and an endpoint takes work.
func (p Predictive) canStillMeet(in Input) bool {
	limit := in.Class.FirstToken.Std()
	if limit == 0 {
		limit = in.Class.Completion.Std() - in.Remaining
	}
	if limit <= 0 {
		return in.Class.Completion.Std() == 0
	}
	return in.Waited+max(in.HeldAhead, in.PausedFor)+in.Service <= limit
}

// retryAfter returns the predicted time until the backlog allows the request's
// limits and an endpoint takes work, within MinRetryAfter and MaxRetryAfter.
func (p Predictive) retryAfter(in Input) time.Duration {
	backlog := in.HeldAhead
	if in.Routed {
		backlog += in.FirstToken
	}
	// A caller that returns before the end of the pause is refused again.
	pause := (in.PausedFor + time.Second - 1).Truncate(time.Second)
	wait := backlog - scale(in.Class.FirstToken.Std(), p.Margin) + in.Service
	return min(MaxRetryAfter, max(MinRetryAfter, wait.Round(time.Second), pause))
}

func scale(d time.Duration, by float64) time.Duration { return time.Duration(float64(d) * by) }
