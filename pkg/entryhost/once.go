package entryhost

import (
	"context"
	"crypto/sha256"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/once"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// recordRetryAfter is the Retry-After of a request that was refused because its
// attempt could not be recorded.
const recordRetryAfter = 2 * time.Second

// headerContentType is the only header that is stored with an outcome.
const headerContentType = "Content-Type"

// onceExecutor implements gate.OnceExecutor with once.Executor.
type onceExecutor struct {
	executor *once.Executor
}

// Execute implements gate.OnceExecutor.
func (x *onceExecutor) Execute(ctx context.Context, request *gate.ServiceRequest, send func(context.Context) (gate.ServiceAnswer, error)) (gate.ServiceAnswer, error) {
	var sendErr error
	outcome, err := x.executor.Execute(ctx, onceRequest(request), func(ctx context.Context) (once.Outcome, error) {
		answer, err := send(ctx)
		sendErr = err
		return toOutcome(answer), markNotRun(err)
	})
	switch {
	case err == nil:
		return fromOutcome(outcome), nil
	case errors.Is(err, once.ErrKeyReused):
		return gate.ServiceAnswer{}, refusal.NotRun(422, refusal.CodeIdempotencyReused,
			"the Idempotency-Key was used for another request").WithCause(err)
	case errors.Is(err, once.ErrNotRun):
		return gate.ServiceAnswer{}, notRunError(sendErr, err)
	default:
		return gate.ServiceAnswer{}, refusal.Unknown(502, refusal.CodeOutcomeUnknown,
			"it is not known whether the request ran; send it again with the same Idempotency-Key to learn its outcome").WithCause(err)
	}
}

// notRunError returns the sender's refusal if there is one, since it gives the
// specific reason.
func notRunError(sendErr, err error) error {
	var r *refusal.Refusal
	if errors.As(sendErr, &r) && r.Ran == refusal.RanNo {
		return r
	}
	return refusal.NotRun(503, refusal.CodeRecordUnavailable,
		"the request could not be recorded and was not run").WithRetryAfter(recordRetryAfter).WithCause(err)
}

// markNotRun wraps errors of requests that did not run in once.ErrNotRun.
func markNotRun(err error) error {
	if err == nil {
		return nil
	}
	if refusal.From(err).Ran == refusal.RanNo {
		return errors.Wrap(once.ErrNotRun, err.Error())
	}
	return err
}

func onceRequest(request *gate.ServiceRequest) once.Request {
	digest := sha256.New()
	for _, part := range []string{request.Method, request.URI, request.ContentType} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(request.Body)
	r := once.Request{Team: request.Team, Key: request.IdempotencyKey}
	digest.Sum(r.Digest[:0])
	return r
}

func toOutcome(answer gate.ServiceAnswer) once.Outcome {
	o := once.Outcome{Status: answer.Status, Body: answer.Body}
	if answer.ContentType != "" {
		o.Headers = []once.Header{{Name: headerContentType, Value: answer.ContentType}}
	}
	return o
}

func fromOutcome(o once.Outcome) gate.ServiceAnswer {
	answer := gate.ServiceAnswer{Status: o.Status, Body: o.Body, BodyOmitted: o.BodyOmitted}
	for _, h := range o.Headers {
		if strings.EqualFold(h.Name, headerContentType) {
			answer.ContentType = h.Value
		}
	}
	return answer
}
