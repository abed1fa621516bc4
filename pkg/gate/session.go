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
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// uselessEvery is the number of tokens between two checks whether an answer
// still has a use.
const uselessEvery = 16

// session runs one model request over as many endpoints as it takes. It is
// used by one goroutine.
type session struct {
	gate        *Gate
	ctx         context.Context
	cancel      context.CancelCauseFunc
	caller      caller
	route       declaration.Route
	model       string
	prompt      string
	work        Work
	fingerprint quarantine.Fingerprint

	crash      CrashAttempt
	assignment Assignment
	stream     *engineclient.Stream
	attempts   int
	// sent is when the current attempt was sent to its engine.
	sent time.Time
	// mayHaveRun is set once an engine may have begun to run the request. From
	// then on no refusal may say "not run".
	mayHaveRun bool
	// first is the event read by start, returned by the first call of next.
	first      *enginewire.Event
	firstToken time.Time
	lastToken  time.Time
	usage      enginewire.Event
	ended      bool
}

// start finds an endpoint and waits for the first event, so that a request
// which cannot run is refused before any byte of an answer is written.
func (s *session) start() error {
	event, err := s.read()
	if err != nil {
		return err
	}
	s.first = &event
	return nil
}

// next returns the next event, resuming on another endpoint when one fails.
func (s *session) next() (enginewire.Event, error) {
	if s.first != nil {
		event := *s.first
		s.first = nil
		return event, nil
	}
	return s.read()
}

func (s *session) read() (enginewire.Event, error) {
	for {
		if err := s.connect(); err != nil {
			return enginewire.Event{}, s.withCause(err)
		}
		event, err := s.stream.Next()
		if err != nil {
			if err := s.failed(s.assignment.Endpoint(), err); err != nil {
				return enginewire.Event{}, s.withCause(err)
			}
			continue
		}
		if event.Done {
			s.usage = event
			s.release(nil)
			return event, nil
		}
		if event.Index != s.work.Delivered {
			// A repeated or skipped token would make the answer wrong, so the
			// attempt ends and the stream resumes from what was delivered.
			wrong := errors.Errorf("engine sent token %d instead of %d", event.Index, s.work.Delivered)
			if err := s.failed(s.assignment.Endpoint(), wrong); err != nil {
				return enginewire.Event{}, s.withCause(err)
			}
			continue
		}
		s.delivered()
		if s.useless() {
			s.mayHaveRun = true
			return enginewire.Event{}, refusal.Unknown(504, refusal.CodeTooLate,
				"the answer could no longer be complete within its class's target and was cancelled")
		}
		return event, nil
	}
}

func (s *session) delivered() {
	now := s.gate.Clock.Now()
	if s.work.Delivered == 0 {
		s.firstToken = now
	}
	s.lastToken = now
	s.work.Delivered++
	s.assignment.Token()
}

// useless reports whether to cancel the request instead of finishing it. It
// asks every uselessEvery tokens, because the estimate changes slowly.
func (s *session) useless() bool {
	if s.work.Delivered%uselessEvery != 0 {
		return false
	}
	perToken := s.lastToken.Sub(s.firstToken) / time.Duration(s.work.Delivered)
	return s.assignment.Useless(s.lastToken.Sub(s.work.Arrived), perToken)
}

// connect makes sure that a stream is open.
func (s *session) connect() error {
	for s.stream == nil {
		crash, err := s.gate.Crashes.Begin(s.fingerprint)
		if err != nil {
			return err
		}
		s.crash = crash
		s.work.Alone = crash.Alone()
		assignment, err := s.gate.Dispatcher.Acquire(s.ctx, &s.work)
		if err != nil {
			s.release(err)
			return err
		}
		s.assignment = assignment
		s.attempts++
		if at, err := s.open(); err != nil {
			if err := s.failed(at, err); err != nil {
				return err
			}
		}
	}
	return nil
}

// open starts the stream of the current assignment. On an error it returns the
// endpoint that failed.
func (s *session) open() (endpoint.Endpoint, error) {
	request := s.request()
	s.sent = s.gate.Clock.Now()
	if prefill, apart := s.assignment.Prefill(); apart {
		if err := s.prefill(prefill, request); err != nil {
			return prefill, err
		}
		request.KVFrom = prefill.Address
	}
	stream, err := s.gate.Engines.Generate(s.ctx, s.assignment.Endpoint().Address, request)
	s.stream = stream
	return s.assignment.Endpoint(), err
}

// prefill computes the KV cache of the prompt on another engine, which keeps it
// under the request id. The one token that it generates is dropped, because the
// decode engine sends it too.
func (s *session) prefill(e endpoint.Endpoint, request enginewire.GenerateRequest) error {
	request.MaxTokens = 1
	request.SkipTokens = 0
	stream, err := s.gate.Engines.Generate(s.ctx, e.Address, request)
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

// failed ends the current attempt, which failed at e, and returns nil if
// another one may follow.
func (s *session) failed(e endpoint.Endpoint, err error) error {
	var refused *engineclient.RefusedError
	var notSent *engineclient.ConnectError
	if !errors.As(err, &refused) && !errors.As(err, &notSent) {
		s.mayHaveRun = true
	}
	var broken *engineclient.BrokenError
	if errors.As(err, &broken) && !broken.Silent && s.ctx.Err() == nil {
		s.crash.Broken(s.ctx, e, s.sent)
		s.crash = nil
	}
	s.release(err)
	if s.ctx.Err() != nil {
		return err
	}
	s.work.Exclude = append(s.work.Exclude, e.ID)
	step, peer := steperr.StepAndPeer(err)
	s.gate.Log.WithFields(log.Fields{
		"request_id": s.work.RequestID, "step": step, "peer": peer, "endpoint": e.ID,
		"attempt": s.attempts, "delivered": s.work.Delivered, "cause": err.Error(),
	}).Warn("attempt failed")
	failure := Failure{NotRun: errors.As(err, &refused) || errors.As(err, &notSent), Planned: planned(refused)}
	wait, again := s.gate.Dispatcher.Retry(&s.work, failure)
	if s.attempts >= maxAttempts || !again {
		return s.givenUp().WithCause(err)
	}
	return s.gate.pause(s.ctx, wait)
}

// planned reports whether an engine refused the request because of a planned
// change, which is no failure of the engine.
func planned(refused *engineclient.RefusedError) bool {
	return refused != nil && (refused.Code == enginewire.CodeDraining || refused.Code == enginewire.CodeChanging)
}

// givenUp is the refusal after the last attempt.
func (s *session) givenUp() *refusal.Refusal {
	if s.mayHaveRun || s.work.Delivered > 0 {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the endpoints that ran the request failed")
	}
	return refusal.NotRun(503, refusal.CodeEndpointFailed, "no endpoint accepted the request").WithRetryAfter(time.Second)
}

// release ends the current attempt.
func (s *session) release(err error) {
	if s.stream != nil {
		s.stream.Close()
		s.stream = nil
	}
	if s.assignment != nil {
		s.assignment.Done(Result{
			PromptTokens: s.usage.PromptTokens,
			CachedTokens: s.usage.CachedTokens,
			OutputTokens: s.work.Delivered,
			Err:          err,
		})
		s.assignment = nil
	}
	if s.crash != nil {
		s.crash.Done()
		s.crash = nil
	}
}

// withCause replaces the error of a request that was cancelled from outside by
// the reason for it, and keeps "not run" true.
func (s *session) withCause(err error) error {
	if cause := context.Cause(s.ctx); cause != nil {
		err = cause
	}
	return promise(err, s.mayHaveRun || s.work.Delivered > 0)
}

// promise withdraws the promise "not run" of a refusal if the request may have
// run in an earlier attempt.
func promise(err error, mayHaveRun bool) error {
	var r *refusal.Refusal
	if !mayHaveRun || !errors.As(err, &r) || r.Ran != refusal.RanNo {
		return err
	}
	unknown := *r
	unknown.Ran = refusal.RanUnknown
	return &unknown
}

// end records the request; err is nil after a whole answer. Only the first
// call counts.
func (s *session) end(err error) {
	if s.ended {
		return
	}
	s.ended = true
	s.release(err)
	s.cancel(nil)
	s.gate.inflight.remove(s.work.RequestID)
	ended := Ended{
		Team:         s.work.Team,
		Class:        s.work.Class.Name,
		Route:        s.route.Name,
		Outcome:      outcomeOf(err),
		Completion:   s.gate.Clock.Now().Sub(s.work.Arrived),
		PromptTokens: s.usage.PromptTokens,
		CachedTokens: s.usage.CachedTokens,
		OutputTokens: s.work.Delivered,
	}
	if s.work.Delivered > 0 {
		ended.FirstToken = s.firstToken.Sub(s.work.Arrived)
	}
	if s.work.Delivered > 1 {
		ended.BetweenTokens = s.lastToken.Sub(s.firstToken) / time.Duration(s.work.Delivered-1)
	}
	s.gate.Recorder.RequestEnded(ended)
	s.gate.Log.WithFields(log.Fields{
		"request_id": s.work.RequestID, "step": "end", "team": ended.Team, "route": ended.Route,
		"outcome": int(ended.Outcome), "attempts": s.attempts, "output_tokens": ended.OutputTokens,
		"first_token_ms": ended.FirstToken.Milliseconds(), "completion_ms": ended.Completion.Milliseconds(),
	}).Debug("request ended")
}

func outcomeOf(err error) Outcome {
	if err == nil {
		return OutcomeWhole
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
