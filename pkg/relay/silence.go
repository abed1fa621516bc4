package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/retry"
)

// silenceCheckInterval is how often it is decided again whether to give up a silent
// endpoint: another endpoint may become available, or the retry budget.
const silenceCheckInterval = 100 * time.Millisecond

// attempt is the state of the current send of a request.
type attempt struct {
	sentAt time.Time
	// retryTaken says that the silent endpoint was given up and that the retry has
	// been taken from the retry budget.
	retryTaken bool
	// silenceRecorded says that the silence was recorded as a failure of the endpoint.
	silenceRecorded bool
	// answered says that the head of the answer has arrived.
	answered bool
}

// onSilence returns the function that the client calls when m has been silent for too
// long. It returns how much longer to wait for m, zero to give m up. current
// describes the silence at each call.
func (x *exchange) onSilence(m fleet.Member, current func(now time.Time) retry.Silence) func() time.Duration {
	return func() time.Duration {
		now := time.Now()
		if x.workCtx.Err() != nil {
			return 0
		}
		// A request that has become suspected meanwhile would be refused by itself.
		silence, lost := current(now), x.onLostPath(m)
		// The same endpoint may answer through another host.
		silence.Alternative = silence.Alternative || lost
		if silence.MayGiveUp() && !x.handler.Guard.Harmful(x.crashFeatures()) && x.handler.Budget.Spend(x.service, now) {
			x.attempt.retryTaken = true
			x.silentLeft++
			x.handler.Metrics.SilentLeft.Add(1)
			return 0
		}
		if !x.attempt.silenceRecorded && !lost {
			x.attempt.silenceRecorded = true
			x.handler.Metrics.SilentKept.Add(1)
			kind := outlier.TimedOut
			if x.attempt.answered {
				// The endpoint was reached, so its failure domain is not in doubt.
				kind = outlier.BadAnswer
			}
			x.handler.recordFailure(m, kind, errors.New("the endpoint is silent"))
		}
		x.silent += silenceCheckInterval
		return silenceCheckInterval
	}
}

// onLostPath reports whether the current send to m may hang on a path that has been lost
// since. Its silence says nothing about m.
func (x *exchange) onLostPath(m fleet.Member) bool {
	return x.handler.PathLostAfter(m.Address, x.attempt.sentAt)
}

// takeRetry takes a retry from the retry budget and reports whether there was one.
// It succeeds if the retry was taken when a silent endpoint was given up.
func (x *exchange) takeRetry() bool {
	if x.attempt.retryTaken {
		x.attempt.retryTaken = false
		return true
	}
	return x.handler.Budget.Spend(x.service, time.Now())
}

// silentPrefill describes the silence of the engine of a prefill.
func (g *generation) silentPrefill(m fleet.Member) func(time.Time) retry.Silence {
	return func(now time.Time) retry.Silence {
		choice, ok := g.choosePrefillWithout(m, now)
		return retry.Silence{
			// A prefill does not run the request.
			Repeatable: true, Sends: g.prefillSends() + 1, MaxSends: maxPrefillEngines,
			Alternative: ok && g.inTime(choice, now),
		}
	}
}

// silentDecode describes the silence of a decode engine. sends counts the sends that
// may have run the request, the one to it included.
func (g *generation) silentDecode(m fleet.Member, sends int) func(time.Time) retry.Silence {
	return func(now time.Time) retry.Silence {
		s := retry.Silence{Repeatable: g.x.route.MayRepeat(), Sends: sends, MaxSends: g.x.route.MaxAttempts}
		job := g.job
		job.Exclude = append(slices.Clone(g.brokenOff), m.ID)
		decode, ok := g.model.ChooseDecodeWithPrefill(job, g.h.health(), now)
		if !ok || g.h.Outliers.Ejected(decode.Engine, now) {
			return s
		}
		prefill, ok := g.choosePrefillWithout(m, now)
		s.Alternative = ok && g.inTime(prefill, now)
		return s
	}
}

// choosePrefillWithout chooses an engine other than m that would prefill the prompt
// next.
func (g *generation) choosePrefillWithout(m fleet.Member, now time.Time) (placement.Choice, bool) {
	job := g.job
	job.Exclude = append(slices.Clone(g.job.Exclude), m.ID)
	if choice, ok := g.model.ChoosePrefill(job, g.h.health(), now); ok {
		return choice, true
	}
	job.Exclude = []string{m.ID}
	return g.model.ChooseDecodeWithPrefill(job, g.h.health(), now)
}

// inTime reports whether the chosen engine is healthy and expected to be in time.
func (g *generation) inTime(c placement.Choice, now time.Time) bool {
	return !g.h.Outliers.Ejected(c.Engine, now) && g.expectedWait(c) <= g.timeLeft()
}

// silentPlain describes the silence of the last of the endpoints that were tried. sends
// counts the sends that may have run the request, the one to it included.
func (h *Handler) silentPlain(x *exchange, tried []string, sends int) func(time.Time) retry.Silence {
	return func(now time.Time) retry.Silence {
		return retry.Silence{
			Repeatable: x.route.MayRepeat(), Sends: sends, MaxSends: x.route.MaxAttempts,
			Alternative: placement.AnyHealthy(h.Fleet.Members(x.service), h.excluded(x, tried), h.health(), now),
		}
	}
}

// avoidSilent makes the next decode avoid m if m was given up because it was silent.
func (g *generation) avoidSilent(m fleet.Member) {
	g.silentEngine = ""
	if g.x.attempt.retryTaken {
		g.silentEngine = m.ID
	}
}

// decodeJob returns the job for the choice of a decode engine. It excludes the engine
// that was given up for its silence, and those that broke off a stream that has begun:
// they may have restarted with another software version and not announced it yet. If no
// other is left it excludes none.
func (g *generation) decodeJob() placement.Job {
	job := g.job
	job.Exclude = nil
	without := job
	without.Exclude = slices.Clone(g.brokenOff)
	if g.silentEngine != "" {
		without.Exclude = append(without.Exclude, g.silentEngine)
	}
	if len(without.Exclude) == 0 {
		return job
	}
	if _, ok := g.model.ChooseDecodeWithPrefill(without, g.h.health(), time.Now()); ok {
		return without
	}
	return job
}
