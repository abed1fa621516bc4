package gate

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// service serves a call of a plain service.
func (g *Gate) service(ctx *fasthttp.RequestCtx, requestID, path string) error {
	arrived := g.Clock.Now()
	route, ok := g.Config.ServiceRoute(path)
	if !ok {
		return refusal.NotRun(404, refusal.CodeNotFound, "no route serves this path")
	}
	var c caller
	if !route.Open {
		var err error
		if c, err = g.authenticate(ctx); err != nil {
			return err
		}
		if err := authorize(c, route); err != nil {
			return err
		}
	}
	request, err := readServiceRequest(ctx, requestID, c, route)
	if err != nil {
		return err
	}
	runCtx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	g.inflight.add(&inflightRequest{id: requestID, caller: c, conn: ctx.Conn(), cancel: cancel})
	defer g.inflight.remove(requestID)

	answer, err := g.runService(runCtx, request, arrived)
	if cause := context.Cause(runCtx); err != nil && cause != nil {
		err = cancellationError(err, cause)
	}
	g.recordService(request, arrived, err)
	if err != nil {
		return err
	}
	if answer.BodyOmitted {
		ctx.Response.Header.Set(HeaderBodyOmitted, "true")
	}
	ctx.SetStatusCode(answer.Status)
	ctx.SetContentType(answer.ContentType)
	ctx.Response.SetBodyRaw(answer.Body)
	return nil
}

// cancellationError returns err if it is a refusal with ran "no", and otherwise
// the cause of the cancellation.
func cancellationError(err, cause error) error {
	if refusal.From(err).Ran == refusal.RanNo {
		return err
	}
	return cause
}

func readServiceRequest(ctx *fasthttp.RequestCtx, requestID string, c caller, route declaration.Route) (*ServiceRequest, error) {
	request := &ServiceRequest{
		RequestID:      requestID,
		Team:           c.team,
		Route:          route,
		Method:         string(ctx.Method()),
		URI:            string(ctx.RequestURI()),
		ContentType:    string(ctx.Request.Header.ContentType()),
		Body:           ctx.PostBody(),
		IdempotencyKey: string(ctx.Request.Header.Peek("Idempotency-Key")),
	}
	if request.atMostOnce() && request.IdempotencyKey == "" {
		return nil, refusal.NotRun(400, refusal.CodeIdempotencyRequired, "this request may not be repeated; name it with an Idempotency-Key header")
	}
	return request, nil
}

// atMostOnce reports whether the request must not run more than once.
func (r *ServiceRequest) atMostOnce() bool {
	if r.Route.Repeatable {
		return false
	}
	return r.Method != fasthttp.MethodGet && r.Method != fasthttp.MethodHead
}

// runService runs the request, at most once if it may not be repeated.
func (g *Gate) runService(ctx context.Context, request *ServiceRequest, arrived time.Time) (ServiceAnswer, error) {
	class, _ := g.Config.Class(request.Route.Class)
	if limit := class.Completion.Std(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	work := &Work{
		RequestID:  request.RequestID,
		Team:       request.Team,
		Class:      class,
		Service:    request.Route.Service,
		Repeatable: !request.atMostOnce(),
		ArrivedAt:  arrived,
	}
	if !work.Repeatable {
		return g.OnceExecutor.Execute(ctx, request, func(ctx context.Context) (ServiceAnswer, error) {
			// A caller that disconnects must not cancel a request that may have
			// been sent: its outcome would be unknown to a retry.
			ctx, cancel := withoutCancel(ctx)
			defer cancel()
			return g.callService(ctx, work, request)
		})
	}
	mayHaveRun := false
	for attempt := 1; ; attempt++ {
		answer, err := g.callService(ctx, work, request)
		if err == nil {
			return answer, nil
		}
		err = withdrawNotRun(err, mayHaveRun)
		mayHaveRun = mayHaveRun || refusal.From(err).Ran != refusal.RanNo
		wait, allowed := g.allowRetry(work, err)
		if attempt >= maxAttempts || !allowed || g.waitBeforeRetry(ctx, wait) != nil {
			return ServiceAnswer{}, err
		}
	}
}

// waitBeforeRetry waits; if ctx ends first, it returns the error of ctx.
func (g *Gate) waitBeforeRetry(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	select {
	case <-g.Clock.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withoutCancel returns a context that keeps the deadline of ctx but not its
// cancellation.
func withoutCancel(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(serviceDefaultTimeout)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}

// allowRetry reports whether a repeatable request that failed with err may try
// another endpoint, and how long to wait before that.
func (g *Gate) allowRetry(work *Work, err error) (time.Duration, bool) {
	var r *refusal.Refusal
	if errors.As(err, &r) && r.Code != refusal.CodeEndpointFailed {
		return 0, false
	}
	return g.Dispatcher.Retry(work, Failure{NotRun: refusal.From(err).Ran == refusal.RanNo})
}

// callService sends the request to the first endpoint that can be reached. An
// endpoint that cannot be reached has not seen the request, so the next one is
// tried at once, even if the request must run at most once.
func (g *Gate) callService(ctx context.Context, work *Work, request *ServiceRequest) (ServiceAnswer, error) {
	for attempt := 1; ; attempt++ {
		answer, err := g.callEndpoint(ctx, work, request)
		var notSent *jsonhttp.NotSentError
		if !errors.As(err, &notSent) || attempt >= maxAttempts || ctx.Err() != nil {
			return answer, err
		}
	}
}

// callEndpoint sends the request to one endpoint.
func (g *Gate) callEndpoint(ctx context.Context, work *Work, request *ServiceRequest) (ServiceAnswer, error) {
	assignment, err := g.Dispatcher.Acquire(ctx, work)
	if err != nil {
		return ServiceAnswer{}, err
	}
	e := assignment.Endpoint()
	answer, err := g.Services.Call(ctx, e.Address, request)
	assignment.Done(Result{Err: err, RetryAfter: answer.RetryAfter})
	if err == nil {
		return answer, nil
	}
	work.ExcludedEndpoints = append(work.ExcludedEndpoints, e.ID)
	g.Log.WithFields(log.Fields{"request_id": request.RequestID, "step": "call service", "peer": e.Address, "endpoint": e.ID, "cause": err.Error()}).Warn("service call failed")
	var notSent *jsonhttp.NotSentError
	if errors.As(err, &notSent) {
		return ServiceAnswer{}, refusal.NotRun(503, refusal.CodeEndpointFailed, "the service could not be reached").WithRetryAfter(time.Second).WithCause(err)
	}
	return ServiceAnswer{}, refusal.Unknown(502, refusal.CodeEndpointFailed, "the service did not answer; the request may have run").WithCause(err)
}

func (g *Gate) recordService(request *ServiceRequest, arrived time.Time, err error) {
	g.Recorder.RequestEnded(RequestRecord{
		Team:           request.Team,
		Class:          request.Route.Class,
		Route:          request.Route.Name,
		Outcome:        outcomeOf(err),
		CompletionTime: g.Clock.Now().Sub(arrived),
	})
}
