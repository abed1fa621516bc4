package relay

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/sleep"
)

const (
	// maxPrefillEngines bounds the engines that are asked for a prefill of one
	// request.
	maxPrefillEngines = 3
	// maxDecodeEngines bounds the engines that are asked to decode after one
	// prefill, while none has run the request.
	maxDecodeEngines = 3
	// prefillSlack is added to twice the expected time of a prefill, after which it
	// is sent to another engine.
	prefillSlack = 700 * time.Millisecond
	// stallTimeout is how long a resumable stream may return nothing before it is
	// resumed at another engine. Callers disconnect after two seconds without an
	// event.
	stallTimeout = 1300 * time.Millisecond
	// firstEventLatency is the usual time from the send to a decode engine to the
	// first event, without the transfer of the KV cache.
	firstEventLatency = 90 * time.Millisecond
	// Callers disconnect when a stream returns nothing, from its start on, for the
	// longest of minCallerTimeout, callerTimeoutTargets times the route's Target,
	// and callerTimeoutGaps times its GapTarget.
	minCallerTimeout     = 2 * time.Second
	callerTimeoutTargets = 4
	callerTimeoutGaps    = 8
	// latePriorityOffset is added to the priority of work that will miss its target.
	// lowestPriority is the least urgent priority that engines accept.
	latePriorityOffset = 5
	lowestPriority     = 9
	// minOverloadRetryAfter is the least Retry-After of refused model work, unless
	// the caller has less time left.
	minOverloadRetryAfter = 400 * time.Millisecond
)

// generation serves one request for model work.
type generation struct {
	h       *Handler
	x       *exchange
	model   *placement.Model
	job     placement.Job
	urgency placement.Urgency
	// misdirected counts the prefills that another instance than the engine answered.
	misdirected int
	// team is the load of the request's team at the last choice of a prefill engine.
	team placement.TeamLoad
	// ahead is the expected time until the held requests before this one have been sent,
	// as of the last admit.
	ahead time.Duration
	// held is set while the host holds the request back.
	held *placement.HeldJob
	// heldOverShare is set once the request was held because its team is over its share.
	heldOverShare bool
	// progressAt is when the last event arrived, zero before the first one.
	progressAt time.Time
	// silentEngine is the decode engine that was given up last because it was silent;
	// empty if the last one failed in another way.
	silentEngine string
	// softwareChanged is set once the prefill was repeated at another software version.
	softwareChanged bool
	// brokenOff lists the decode engines that broke the stream off after its first event.
	brokenOff []string
}

// generate serves a request for model work.
func (h *Handler) generate(x *exchange, model *placement.Model) *refusal.Refusal {
	p := x.call.Prompt
	g := &generation{h: h, x: x, model: model,
		urgency: urgencyOf(x), job: placement.Job{Parts: p.Parts, PromptTokens: p.Tokens, OutputLimit: p.MaxOutput, Software: x.software}}
	defer func() { model.Held.Release(g.held) }()
	stream, r := g.open()
	if r != nil {
		return r
	}
	return x.forwardStream(stream)
}

// open runs the prefill and starts the decode. The head of the returned stream's
// answer has been read.
func (g *generation) open() (*stream, *refusal.Refusal) {
	for {
		if r := g.x.cancellationRefusal(); r != nil {
			return nil, r
		}
		if r := g.h.quarantineRefusal(g.x); r != nil {
			return nil, r
		}
		g.job.Due = g.due(time.Now())
		choice, ok := g.model.ChoosePrefill(g.job, g.h.health(), time.Now())
		if !ok {
			return g.openWithoutPrefill()
		}
		if end, paused := g.h.firstPauseEnd(g.x, endpoint.RoleDecode); paused && time.Until(end) > choice.Expected() {
			// No engine could decode after the prefill.
			return nil, g.decodeRefusal(nil)
		}
		g.observeTeam(choice)
		if r := g.admit(choice); r != nil {
			return nil, r
		}
		if g.hold(choice) {
			continue
		}
		handle, err := g.prefill(choice)
		if err != nil {
			if r := g.afterFailedPrefill(choice, err); r != nil {
				return nil, r
			}
			continue
		}
		s, repeatPrefill, r := g.decode(handle, choice.Engine)
		if repeatPrefill {
			continue
		}
		return s, r
	}
}

// admit refuses work whose next event is expected after the deadline or the
// caller's timeout, and marks work that will miss its target as late.
func (g *generation) admit(c placement.Choice) *refusal.Refusal {
	g.ahead = g.heldWait(c.Work)
	wait := g.ahead + g.sendWait(c)
	expected := g.x.elapsed() + wait
	if g.x.route.Target > 0 && expected > g.x.route.Target && !g.job.Late {
		g.job.Late, g.x.late = true, true
	}
	g.x.logFields["chosen"], g.x.logFields["wait_ms"], g.x.logFields["expected_ms"] = c.Engine.ID, c.Wait.Milliseconds(), c.Expected().Milliseconds()
	left := g.timeLeft()
	excess := wait - left
	if excess <= 0 {
		return nil
	}
	g.x.logFields["held_wait_ms"] = g.ahead.Milliseconds()
	g.model.Teams.Refused(g.x.team, c.Work, time.Now())
	if g.team.OverShare() {
		g.h.Metrics.RefusedOverShare.Add(1)
	}
	after := placement.RetryAfter(max(excess, minOverloadRetryAfter), left, g.callerTimeout(), rand.Float64())
	return refusal.NotRun(503, refusal.CodeOverloaded, "the request cannot be served in its time").WithRetryAfter(g.x.retryAfter(after))
}

// expectedWait returns the expected time until the next event if the prefill is sent
// to the chosen engine now.
func (g *generation) expectedWait(c placement.Choice) time.Duration {
	return g.heldWait(c.Work) + g.sendWait(c)
}

// sendWait returns the same for a request that nothing holds back.
func (g *generation) sendWait(c placement.Choice) time.Duration {
	job := g.job
	job.Software = c.Engine.SoftwareVersion
	return c.Expected() + g.model.DecodeWait(job, g.h.health(), time.Now()) + firstEventLatency
}

// timeLeft returns how long the caller still waits for the next event.
func (g *generation) timeLeft() time.Duration {
	since := g.x.arrived
	if !g.progressAt.IsZero() {
		since = g.progressAt
	}
	return min(g.x.remaining(), g.callerTimeout()-time.Since(since))
}

// due returns when the prefill or the transfer to a decode engine must be complete for
// the first event to meet the target or, if the target was missed or is not set, for
// the caller to get it at all.
func (g *generation) due(now time.Time) time.Time {
	left := g.timeLeft()
	if target := g.x.route.Target - g.x.elapsed(); target > 0 && g.progressAt.IsZero() {
		left = min(left, target)
	}
	return now.Add(left - firstEventLatency)
}

// observeTeam reads the load of the request's team. A stream that is resumed is sent
// without regard to it.
func (g *generation) observeTeam(c placement.Choice) {
	target := g.urgency.Target
	if g.urgency.Ranks == 0 {
		target = g.x.route.Target
	}
	g.team = g.model.Teams.Load(g.x.team, c.Shortest, target, time.Now())
	if g.team.Overloaded {
		g.x.logFields["team_part"], g.x.logFields["fair_part"] = math.Round(g.team.Part*1e4)/1e4, math.Round(g.team.Fair*1e4)/1e4
		g.x.logFields["over_share"] = g.team.OverShare()
	}
}

// countWork counts a send for the request's team, and returns the function that takes it
// back if the send fails.
func (g *generation) countWork(role endpoint.Role, c placement.Choice) (undo func()) {
	work := g.model.TeamWork(role, c)
	g.model.Teams.Add(g.x.team, work, time.Now())
	return func() { g.model.Teams.Add(g.x.team, -work, time.Now()) }
}

// urgencyOf ranks the request among the routes of its service.
func urgencyOf(x *exchange) placement.Urgency {
	ranks, target := x.table.MoreUrgent(x.service, x.priority)
	return placement.Urgency{Ranks: ranks, Target: target}
}

// heldWait returns the expected time until the held requests before this one, which
// takes an engine for the time work, have been sent.
func (g *generation) heldWait(work time.Duration) time.Duration {
	switch {
	case g.x.lastDelivered != "":
		return 0
	case g.team.OverShare():
		return g.model.HeldWaitOfTeam(g.team, g.urgency, g.job.Late, work, g.x.arrived, time.Now(), g.h.LiveHosts())
	case g.urgency.Ranks == 0:
		return 0
	}
	return g.model.HeldWait(g.job.Late, work, g.x.arrived, time.Now(), g.h.LiveHosts())
}

// hold keeps the request at this host for a while if no engine is to get it now, and
// reports whether it did. A stream that is resumed is not held.
func (g *generation) hold(c placement.Choice) bool {
	d := placement.HoldTimeOfTeam(g.urgency, g.job.Late, c, g.team, g.ahead)
	if d <= 0 || g.x.lastDelivered != "" {
		g.model.Held.Release(g.held)
		g.held = nil
		return false
	}
	if g.team.OverShare() {
		if !g.heldOverShare {
			g.heldOverShare = true
			g.h.Metrics.HeldOverShare.Add(1)
		}
		g.held = g.model.Held.HoldOverShare(g.held, g.team, g.urgency, g.job.Late, g.x.arrived, c.Work)
	} else {
		g.held = g.model.Held.Hold(g.held, g.job.Late, g.x.arrived, c.Work)
	}
	sleep.For(g.x.workCtx, d)
	g.x.logFields["held_ms"] = g.x.elapsed().Milliseconds()
	return true
}

// callerTimeout returns how long the caller waits for the next event.
func (g *generation) callerTimeout() time.Duration {
	return max(minCallerTimeout, callerTimeoutTargets*g.x.route.Target, callerTimeoutGaps*g.x.route.GapTarget)
}

// priority returns the priority for the engines; 0 is the most urgent.
func (g *generation) priority() int {
	priority := g.x.priority
	if g.job.Late {
		priority += latePriorityOffset
	}
	return min(priority, lowestPriority)
}

// prefillHandle names a finished prefill at the engine that holds its KV cache.
type prefillHandle struct {
	id     string
	member fleet.Member
}

// prefill runs the prefill at the chosen engine and records its outcome.
func (g *generation) prefill(c placement.Choice) (prefillHandle, error) {
	now := time.Now()
	inFlight, sent := g.model.BeginSend(endpoint.RolePrefill, g.job, c, now)
	undoCount := g.countWork(endpoint.RolePrefill, c)
	g.h.OnSent(g.x.service, sent)
	limit := 2*c.Expected() + prefillSlack
	g.x.logFields["prefill_at"], g.x.logFields["uncached"], g.x.logFields["copied"] = c.Engine.ID, c.Uncached, c.Copied
	g.x.logFields["prefill_software"] = c.Engine.SoftwareVersion
	id, err := g.sendPrefill(c, limit)
	done := time.Now()
	g.x.logFields["prefill_ms"], g.x.logFields["prefill_expected_ms"] = done.Sub(now).Milliseconds(), c.Expected().Milliseconds()
	if err != nil {
		undoCount()
		g.model.EndSend(inFlight, placement.Failed, done)
		return prefillHandle{}, err
	}
	g.model.EndSend(inFlight, placement.Completed, done)
	g.h.Outliers.Succeeded(c.Engine, done)
	g.h.Pace.Answered(c.Engine.ID, now, c.Expected(), done)
	g.h.Metrics.Prefill.Record(done.Sub(now))
	return prefillHandle{id: id, member: c.Engine}, nil
}

// sendPrefill sends the prefill request and returns the id of the handle.
func (g *generation) sendPrefill(c placement.Choice, limit time.Duration) (string, error) {
	opts := ForwardOptions{Phase: PhasePrefill, HasPriority: true, Priority: g.priority(), CopyFrom: c.Source.Address, LastEventID: g.x.lastDelivered}
	answer, err := g.h.send(g.x, c.Engine, opts, headLimit{limit, g.silentPrefill(c.Engine)}, false)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return "", err
	}
	if answer.Status != 200 {
		return "", errors.Errorf("the prefill was answered with status %d", answer.Status)
	}
	return g.h.Codec.Handle(body)
}

// afterFailedPrefill excludes the engine of a failed prefill and returns nil if
// another one may be asked. A prefill does not run the request, so it may be
// repeated.
func (g *generation) afterFailedPrefill(c placement.Choice, err error) *refusal.Refusal {
	if r := g.x.cancellationRefusal(); r != nil {
		return r
	}
	g.job.Exclude = append(g.job.Exclude, c.Engine.ID)
	if misdirected(err) {
		g.misdirected++
	}
	if notSent(err) && g.prefillSends() <= maxUnreachableEndpoints {
		return nil
	}
	if g.mayRetryPrefill(err) && g.prefillSends() < maxPrefillEngines {
		g.h.Metrics.Retries.Add(1)
		return nil
	}
	if g.x.ran {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine failed").WithCause(err)
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no engine read the prompt").WithRetryAfter(g.h.retryAfterPause(g.x, endpoint.RolePrefill, minOverloadRetryAfter)).WithCause(err)
}

// prefillSends returns the number of engines that were asked for a prefill.
func (g *generation) prefillSends() int { return len(g.job.Exclude) - g.misdirected }

// mayRetryPrefill reports whether the retry budget allows another prefill after a
// failed one. Every prefill counts as a retry, except the first one that an engine
// accepts: a rejected prefill is counted itself, after any other failure the next
// one is counted.
func (g *generation) mayRetryPrefill(err error) bool {
	if !provesNotRun(err) {
		return g.x.takeRetry()
	}
	now := time.Now()
	g.h.Budget.RecordRetry(g.x.service, now)
	return g.h.Budget.Allows(g.x.service, now)
}

// decode starts the decode from the handle at an engine. repeatPrefill says that
// the prefill has to be repeated first.
//
// A refusal does not say whether the engine is full or the handle has expired, and
// an expired handle is refused by every engine. The next engine is therefore asked
// to prefill as well, with a copy of what the prefill engine still caches of the
// prompt. This serves both cases.
func (g *generation) decode(handle prefillHandle, from fleet.Member) (s *stream, repeatPrefill bool, r *refusal.Refusal) {
	consumed := false
	defer func() {
		if !consumed {
			g.freeHandle(handle)
		}
	}()
	job := g.decodeJob()
	opts := ForwardOptions{Phase: PhaseDecode, Handle: handle.id, HandleAddress: handle.member.Address}
	for asked := 1; ; asked++ {
		if r := g.x.cancellationRefusal(); r != nil {
			return nil, false, r
		}
		// The prefill takes long enough for news of crashes.
		if r := g.h.quarantineRefusal(g.x); r != nil {
			return nil, false, r
		}
		job.Due = g.due(time.Now())
		choice, ok := g.model.ChooseDecode(job, from, g.h.health(), time.Now())
		if !ok {
			if g.mayChangeSoftware(job) {
				return nil, true, nil
			}
			return nil, false, g.decodeRefusal(nil)
		}
		s, err := g.startDecode(choice, opts)
		if err == nil {
			consumed = opts.Phase == PhaseDecode
			return s, false, nil
		}
		job.Exclude = append(job.Exclude, choice.Engine.ID)
		g.avoidSilent(choice.Engine)
		if r := g.x.cancellationRefusal(); r != nil {
			return nil, false, r
		}
		switch {
		case misdirected(err) && g.h.Budget.Spend(g.x.service, time.Now()):
			// The handle is as good as before.
			asked--
			g.h.Metrics.Retries.Add(1)
		case notSent(err) && asked < maxDecodeEngines:
		case provesNotRun(err) && asked < maxDecodeEngines && g.h.Budget.Spend(g.x.service, time.Now()):
			g.h.Metrics.Retries.Add(1)
			opts = ForwardOptions{Phase: PhaseFull, CopyFrom: g.h.copySource(handle.member)}
		case g.mayRetryRun(err):
			return nil, true, nil
		default:
			return nil, false, g.decodeRefusal(err)
		}
	}
}

// mayChangeSoftware reports whether the prefill may be repeated at another software
// version because no engine of the first one's can decode, and takes the retry from the
// retry budget if so. It may once for each request.
func (g *generation) mayChangeSoftware(job placement.Job) bool {
	if g.softwareChanged || job.Software != "" {
		return false
	}
	job.Exclude = nil
	if _, ok := g.model.ChooseDecodeWithPrefill(job, g.h.health(), time.Now()); !ok || !g.h.Budget.Spend(g.x.service, time.Now()) {
		return false
	}
	g.softwareChanged = true
	g.h.Metrics.Retries.Add(1)
	return true
}

// copySource returns the address of an engine from which KV cache may be copied, empty
// after a restart: another software version may run there since.
func (h *Handler) copySource(m fleet.Member) string {
	current, known := h.Fleet.Find(m.ID)
	if !known || current.StartedMillis != m.StartedMillis || current.Address != m.Address || current.SoftwareVersion != m.SoftwareVersion {
		return ""
	}
	return m.Address
}

// mayRetryRun reports whether the request may be sent again after a failed attempt
// to run it, and takes the retry from the retry budget if so.
func (g *generation) mayRetryRun(err error) bool {
	safe := g.x.route.MayRepeat() || provesNotRun(err) && !g.x.ran
	return safe && g.x.attempts < max(g.x.route.MaxAttempts, 1) && g.x.takeRetry()
}

// decodeRefusal returns the refusal after the last failed attempt to decode. err is
// nil if no engine was available.
func (g *generation) decodeRefusal(err error) *refusal.Refusal {
	if g.x.ran || err != nil && !provesNotRun(err) {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine failed; the request may have run").WithCause(err)
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no engine can generate now").WithRetryAfter(g.h.retryAfterPause(g.x, endpoint.RoleDecode, minOverloadRetryAfter)).WithCause(err)
}

// startDecode sends the request to a decode engine and waits for the head of its
// answer.
func (g *generation) startDecode(c placement.Choice, opts ForwardOptions) (*stream, error) {
	now := time.Now()
	inFlight, sent := g.model.BeginSend(endpoint.RoleDecode, g.job, c, now)
	undoCount := g.countWork(endpoint.RoleDecode, c)
	g.h.OnSent(g.x.service, sent)
	opts.HasPriority, opts.Priority, opts.LastEventID = true, g.priority(), g.x.lastDelivered
	g.x.logFields["decode_at"], g.x.logFields["decode_expected_ms"] = c.Engine.ID, c.Decoding.Milliseconds()
	g.x.logFields["decode_software"] = c.Engine.SoftwareVersion
	var limit headLimit
	if g.x.route.MayRepeat() && g.x.attempts+1 < g.x.route.MaxAttempts {
		limit = headLimit{c.Expected() + stallTimeout, g.silentDecode(c.Engine, g.x.attempts+1)}
	}
	answer, err := g.h.send(g.x, c.Engine, opts, limit, !g.x.route.MayRepeat())
	if !provesNotRun(err) {
		g.x.attempts++
	}
	if err != nil {
		undoCount()
		g.model.EndSend(inFlight, placement.Failed, time.Now())
		return nil, err
	}
	s := &stream{x: g.x, source: g, answer: answer, member: c.Engine, sentAt: now, inFlight: inFlight}
	if opts.Phase == PhaseDecode || c.Uncached > 0 {
		s.expected = c.Expected() + firstEventLatency
	}
	return s, nil
}

// openWithoutPrefill asks a decode engine for the prefill as well, because no
// prefill engine is left.
func (g *generation) openWithoutPrefill() (*stream, *refusal.Refusal) {
	// Nothing is held before a decode engine.
	g.team = placement.TeamLoad{}
	job := g.decodeJob()
	job.Exclude = slices.Clone(job.Exclude)
	var lastErr error
	for sends := 1; ; sends++ {
		choice, ok := g.model.ChooseDecodeWithPrefill(job, g.h.health(), time.Now())
		if !ok {
			return nil, g.decodeRefusal(lastErr)
		}
		if r := g.admit(choice); r != nil {
			return nil, r
		}
		s, err := g.startDecode(choice, ForwardOptions{Phase: PhaseFull})
		if err == nil {
			return s, nil
		}
		if r := g.x.cancellationRefusal(); r != nil {
			return nil, r
		}
		if r := g.h.quarantineRefusal(g.x); r != nil {
			return nil, r
		}
		g.avoidSilent(choice.Engine)
		job.Exclude = append(job.Exclude, choice.Engine.ID)
		lastErr = err
		switch {
		case misdirected(err) && g.mayRetryRun(err):
			sends--
			g.h.Metrics.Retries.Add(1)
		case notSent(err) && sends < maxDecodeEngines:
		case provesNotRun(err) && sends < maxDecodeEngines && g.mayRetryRun(err):
			g.h.Metrics.Retries.Add(1)
		case !provesNotRun(err) && g.mayRetryRun(err):
			// The sends that may have run the request bound the recursion.
			return g.open()
		default:
			return nil, g.decodeRefusal(err)
		}
	}
}

// freeHandle frees, in the background, a handle that no engine will use. An engine that
// has asked for a pause is left to free it by itself after its own timeout.
func (g *generation) freeHandle(handle prefillHandle) {
	h := g.h
	if time.Now().Before(h.Fleet.PausedUntil(handle.member)) {
		return
	}
	h.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeHandleTimeout)
		defer cancel()
		_, _, err := h.Client.Fetch(ctx, handle.member.Address, h.Codec.FreeHandle(handle.member.Address, handle.id), maxAnswerBytes)
		if err != nil {
			h.Log.WithField("engine", handle.member.ID).WithError(err).Warn("handle_not_freed")
		}
	})
}
