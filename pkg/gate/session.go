package gate

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// targetCheckTokens is the number of tokens between two checks whether the
// answer can still meet its class's target.
const targetCheckTokens = 16

const (
	// silenceCheckInterval is how often it is decided again whether to give up a
	// silent engine.
	silenceCheckInterval = 250 * time.Millisecond
	// maxSilence bounds the time that one attempt waits for a silent engine: model
	// requests have no deadline.
	maxSilence = 30 * time.Second
)

// session runs one model request. When an attempt fails, it continues on
// another endpoint. Only one goroutine uses it.
type session struct {
	gate   *Gate
	ctx    context.Context
	cancel context.CancelCauseFunc
	caller caller
	route  declaration.Route
	model  string
	prompt string
	work   Work
	// identity is how the crash guard recognises the request.
	identity quarantine.Request
	// quota is what the request has taken from its team's quota.
	quota quotashare.Result

	crashAttempt CrashAttempt
	assignment   Assignment
	stream       *engineclient.Stream
	attempts     int
	// sentAt is when the current attempt was sent to its engine.
	sentAt time.Time
	// mayHaveRun is set once an engine may have begun to run the request. From
	// then on no refusal may have ran "no".
	mayHaveRun bool
	// silentRetry is set if the retry was taken when the silent endpoint of the
	// current attempt was given up.
	silentRetry *silentRetry
	// silent is how long silent endpoints were waited for beyond the progress timeout.
	silent time.Duration
	// firstEvent was read by start; the first call of nextEvent returns it.
	firstEvent   *enginewire.Event
	firstTokenAt time.Time
	lastTokenAt  time.Time
	usage        enginewire.Event
	finished     bool
}

// silentRetry is a retry that has been taken, with the wait before it.
type silentRetry struct{ wait time.Duration }

// start finds an endpoint and waits for the first event, so that a request
// that cannot run is refused before any byte of an answer is written.
func (s *session) start() error {
	event, err := s.readEvent()
	if err != nil {
		return err
	}
	s.firstEvent = &event
	return nil
}

// nextEvent returns the next event. When an endpoint fails, it resumes the
// stream on another one.
func (s *session) nextEvent() (enginewire.Event, error) {
	if s.firstEvent != nil {
		event := *s.firstEvent
		s.firstEvent = nil
		return event, nil
	}
	return s.readEvent()
}

func (s *session) readEvent() (enginewire.Event, error) {
	for {
		if err := s.ensureStream(); err != nil {
			return enginewire.Event{}, s.resultError(err)
		}
		event, err := s.stream.Next()
		if err != nil {
			if err := s.failAttempt(s.assignment.Endpoint(), err); err != nil {
				return enginewire.Event{}, s.resultError(err)
			}
			continue
		}
		if event.Done {
			s.usage = event
			s.crashAttempt.Completed()
			s.endAttempt(nil)
			return event, nil
		}
		if event.Index != s.work.Delivered {
			// A repeated or skipped token would make the answer wrong, so the
			// attempt ends and the stream resumes after the last delivered token.
			orderErr := errors.Errorf("engine sent token index %d, want %d", event.Index, s.work.Delivered)
			if err := s.failAttempt(s.assignment.Endpoint(), orderErr); err != nil {
				return enginewire.Event{}, s.resultError(err)
			}
			continue
		}
		s.recordToken()
		if s.cannotMeetTarget() {
			s.mayHaveRun = true
			return enginewire.Event{}, refusal.Unknown(504, refusal.CodeTooLate,
				"the answer could no longer be complete within its class's target and was cancelled")
		}
		return event, nil
	}
}

func (s *session) recordToken() {
	now := s.gate.Clock.Now()
	if s.work.Delivered == 0 {
		s.firstTokenAt = now
	}
	s.lastTokenAt = now
	s.work.Delivered++
	s.assignment.TokenDelivered()
}

// cannotMeetTarget reports whether to cancel the request because its answer will
// be too late. It asks every targetCheckTokens tokens, because the estimate
// changes slowly.
func (s *session) cannotMeetTarget() bool {
	if s.work.Delivered%targetCheckTokens != 0 {
		return false
	}
	perToken := s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(s.work.Delivered)
	return s.assignment.CannotMeetTarget(s.lastTokenAt.Sub(s.work.ArrivedAt), perToken)
}

// ensureStream opens a stream if none is open.
func (s *session) ensureStream() error {
	for s.stream == nil {
		crash, err := s.gate.CrashGuard.Begin(s.identity)
		if err != nil {
			return err
		}
		s.crashAttempt = crash
		s.work.Exclusive = crash.Exclusive()
		assignment, err := s.gate.Dispatcher.Acquire(s.ctx, &s.work)
		if err != nil {
			s.endAttempt(err)
			return err
		}
		s.assignment = assignment
		s.attempts++
		if failedAt, err := s.openStream(); err != nil {
			if err := s.failAttempt(failedAt, err); err != nil {
				return err
			}
		}
	}
	return nil
}

// openStream starts the stream of the current assignment. On an error it
// returns the endpoint that failed.
func (s *session) openStream() (endpoint.Endpoint, error) {
	request := s.request()
	s.sentAt = s.gate.Clock.Now()
	if prefill, disaggregated := s.assignment.Prefill(); disaggregated {
		if err := s.prefill(prefill, request); err != nil {
			return prefill, err
		}
		request.KVFrom = prefill.Address
	}
	stream, err := s.gate.Engines.Generate(s.ctx, s.assignment.Endpoint().Address, request, s.onSilence(s.assignment.Endpoint()))
	s.stream = stream
	return s.assignment.Endpoint(), err
}

// prefill computes the KV cache of the prompt on another engine, which keeps it
// under the request id. The one token that it generates is dropped, because the
// decode engine sends it too.
func (s *session) prefill(e endpoint.Endpoint, request enginewire.GenerateRequest) error {
	request.MaxTokens = 1
	request.SkipTokens = 0
	stream, err := s.gate.Engines.Generate(s.ctx, e.Address, request, s.onSilence(e))
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		event, err := stream.Next()
		if err != nil || event.Done {
			return err
		}
	}
}

func (s *session) request() enginewire.GenerateRequest {
	return enginewire.GenerateRequest{
		RequestID:  s.work.RequestID,
		Model:      s.work.Model,
		Adapter:    s.route.Adapter,
		Prompt:     s.prompt,
		CacheSalt:  s.work.CacheSalt,
		MaxTokens:  s.work.MaxTokens,
		Priority:   s.assignment.Priority(),
		SkipTokens: s.work.Delivered,
	}
}

// onSilence returns the function that decides, while e is silent, how much longer to
// wait for it. It returns zero if another endpoint can take over.
func (s *session) onSilence(e endpoint.Endpoint) func() time.Duration {
	var silent time.Duration
	return func() time.Duration {
		if s.ctx.Err() != nil || silent >= maxSilence {
			return 0
		}
		if wait, giveUp := s.gate.Dispatcher.GiveUpSilent(&s.work, e); giveUp {
			s.silentRetry = &silentRetry{wait: wait}
			return 0
		}
		silent += silenceCheckInterval
		s.silent += silenceCheckInterval
		return silenceCheckInterval
	}
}

// takeRetry reports whether another attempt is allowed after a failure, and how long
// to wait before it.
func (s *session) takeRetry(failure Failure) (time.Duration, bool) {
	if taken := s.silentRetry; taken != nil {
		s.silentRetry = nil
		return taken.wait, true
	}
	return s.gate.Dispatcher.Retry(&s.work, failure)
}

// failAttempt ends the current attempt, which failed at e. It returns nil if
// another attempt may follow.
func (s *session) failAttempt(e endpoint.Endpoint, err error) error {
	var refused *engineclient.RefusedError
	var notSent *engineclient.ConnectError
	if !errors.As(err, &refused) && !errors.As(err, &notSent) {
		s.mayHaveRun = true
	}
	var broken *engineclient.BrokenError
	if errors.As(err, &broken) && !broken.TimedOut && s.ctx.Err() == nil {
		s.crashAttempt.ConnectionBroken(s.ctx, e, s.sentAt)
		s.crashAttempt = nil
	}
	s.endAttempt(err)
	if s.ctx.Err() != nil {
		return err
	}
	s.work.ExcludedEndpoints = append(s.work.ExcludedEndpoints, e.ID)
	step, peer := steperr.StepAndPeer(err)
	s.gate.Log.WithFields(log.Fields{
		"request_id": s.work.RequestID, "step": step, "peer": peer, "endpoint": e.ID,
		"attempt": s.attempts, "delivered": s.work.Delivered, "cause": err.Error(),
		"given_up_silent": s.silentRetry != nil,
	}).Warn("attempt failed")
	failure := Failure{NotRun: errors.As(err, &refused) || errors.As(err, &notSent), Planned: plannedRefusal(refused)}
	wait, allowed := s.takeRetry(failure)
	if s.attempts >= maxAttempts || !allowed {
		return s.retriesExhausted().WithCause(err)
	}
	return s.gate.waitBeforeRetry(s.ctx, wait)
}

// plannedRefusal reports whether an engine refused the request because of a
// planned change, which is no failure of the engine.
func plannedRefusal(refused *engineclient.RefusedError) bool {
	return refused != nil && (refused.Code == enginewire.CodeDraining || refused.Code == enginewire.CodeChanging)
}

// retriesExhausted returns the refusal after the last attempt.
func (s *session) retriesExhausted() *refusal.Refusal {
	if s.mayHaveRun || s.work.Delivered > 0 {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the endpoints that ran the request failed")
	}
	return refusal.NotRun(503, refusal.CodeEndpointFailed, "no endpoint accepted the request").WithRetryAfter(time.Second)
}

// endAttempt closes the stream and releases the reservation of the attempt.
func (s *session) endAttempt(err error) {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
	if s.assignment != nil {
		var retryAfter time.Duration
		var refused *engineclient.RefusedError
		if errors.As(err, &refused) {
			retryAfter = refused.RetryAfter
		}
		s.assignment.Done(Result{
			RetryAfter:   retryAfter,
			PromptTokens: s.usage.PromptTokens,
			CachedTokens: s.usage.CachedTokens,
			OutputTokens: s.work.Delivered,
			Err:          err,
		})
		s.assignment = nil
	}
	if s.crashAttempt != nil {
		s.crashAttempt.Done()
		s.crashAttempt = nil
	}
}

// resultError returns the error for the caller: the cause of the cancellation
// if the request was cancelled, else err. Its ran "no" becomes "unknown" if an
// engine may have run the request.
func (s *session) resultError(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	return withdrawNotRun(err, s.mayHaveRun || s.work.Delivered > 0)
}

// withdrawNotRun replaces ran "no" of a refusal by "unknown" if an earlier
// attempt may have run the request.
func withdrawNotRun(err error, mayHaveRun bool) error {
	var r *refusal.Refusal
	if !mayHaveRun || !errors.As(err, &r) || r.Ran != refusal.RanNo {
		return err
	}
	unknown := *r
	unknown.Ran = refusal.RanUnknown
	return &unknown
}

// finish records the request; err is nil after a complete answer. Calls after
// the first have no effect.
func (s *session) finish(err error) {
	if s.finished {
		return
	}
	s.finished = true
	s.returnQuota(err)
	s.endAttempt(err)
	s.cancel(nil)
	s.gate.inflight.remove(s.work.RequestID)
	ended := RequestRecord{
		Team:           s.work.Team,
		Class:          s.work.Class.Name,
		Route:          s.route.Name,
		Outcome:        outcomeOf(err),
		CompletionTime: s.gate.Clock.Now().Sub(s.work.ArrivedAt),
		PromptTokens:   s.usage.PromptTokens,
		CachedTokens:   s.usage.CachedTokens,
		OutputTokens:   s.work.Delivered,
	}
	if s.work.Delivered > 0 {
		ended.TimeToFirstToken = s.firstTokenAt.Sub(s.work.ArrivedAt)
	}
	if s.work.Delivered > 1 {
		ended.TimePerOutputToken = s.lastTokenAt.Sub(s.firstTokenAt) / time.Duration(s.work.Delivered-1)
	}
	s.gate.Recorder.RequestEnded(ended)
	s.gate.Log.WithFields(log.Fields{
		"request_id": s.work.RequestID, "step": "end", "team": ended.Team, "route": ended.Route,
		"outcome": int(ended.Outcome), "attempts": s.attempts, "silent_ms": s.silent.Milliseconds(), "output_tokens": ended.OutputTokens,
		"first_token_ms": ended.TimeToFirstToken.Milliseconds(), "completion_ms": ended.CompletionTime.Milliseconds(),
	}).Debug("request ended")
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeComplete
	}
	r := refusal.From(err)
	switch {
	case r.Code == refusal.CodeCallerGone:
		return OutcomeCallerGone
	case r.Ran == refusal.RanNo:
		return OutcomeRefused
	case r.Code == refusal.CodeOutcomeUnknown:
		return OutcomeUnknown
	default:
		return OutcomeFailed
	}
}
