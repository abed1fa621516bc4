package endpointapi

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
)

var (
	// ErrNoEffect reports an order or report that certainly has no effect.
	ErrNoEffect = errors.New("the platform did not carry out the request")
	// ErrOutcomeUnknown reports an order or report that may have an effect, now
	// or later.
	ErrOutcomeUnknown = errors.New("outcome of the request to the platform is unknown")
)

// RefusedError reports that the platform answered with a 4xx status. The request
// has no effect.
type RefusedError struct {
	Status int
	Refusal
	cause error
}

// Error implements the error interface.
func (e *RefusedError) Error() string { return "refused as " + e.Code + ": " + e.cause.Error() }

// Unwrap returns ErrNoEffect and the cause.
func (e *RefusedError) Unwrap() []error { return []error{ErrNoEffect, e.cause} }

// outcomeError adds the outcome to the cause.
type outcomeError struct{ outcome, cause error }

func (e *outcomeError) Error() string   { return e.outcome.Error() + ": " + e.cause.Error() }
func (e *outcomeError) Unwrap() []error { return []error{e.outcome, e.cause} }

// classify adds to err whether the request may have taken effect. A 5xx may come
// from a proxy whose backend did act, so only 4xx counts as a refusal.
func classify(err error) error {
	var notSent *jsonhttp.NotSentError
	var status *jsonhttp.StatusError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notSent):
		return &outcomeError{ErrNoEffect, err}
	case errors.As(err, &status) && status.Status >= 400 && status.Status < 500:
		refused := &RefusedError{Status: status.Status, cause: err}
		if json.Unmarshal(status.Body, &refused.Refusal) != nil {
			refused.Code = CodeBadRequest
		}
		return refused
	default:
		return &outcomeError{ErrOutcomeUnknown, err}
	}
}

// Answer is the last answer of an interface.
type Answer[T any] struct {
	Value T
	// Age is the time since the request for the answer was sent.
	Age time.Duration
	// Known is false as long as there has been no answer.
	Known bool
}

// lastAnswer keeps the last answer. It is safe for concurrent use.
type lastAnswer[T any] struct {
	clock  clockwork.Clock
	mu     sync.Mutex
	value  T
	sentAt time.Time
	known  bool
}

func (l *lastAnswer[T]) get() Answer[T] {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.known {
		return Answer[T]{}
	}
	return Answer[T]{Value: l.value, Age: l.clock.Since(l.sentAt), Known: true}
}

// set stores value unless l already holds the answer to a later request.
func (l *lastAnswer[T]) set(value T, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.known && sentAt.Before(l.sentAt) {
		return
	}
	l.value, l.sentAt, l.known = value, sentAt, true
}

// fetch requests path. On failure it returns the last answer with the error.
func (l *lastAnswer[T]) fetch(ctx context.Context, c *jsonhttp.Client, path string) (Answer[T], error) {
	var value T
	sentAt := l.clock.Now()
	if err := c.Do(ctx, http.MethodGet, path, nil, &value); err != nil {
		return l.get(), err
	}
	l.set(value, sentAt)
	return l.get(), nil
}

// HostList reads the platform's host list. It is safe for concurrent use.
type HostList struct {
	http *jsonhttp.Client
	last lastAnswer[HostsAnswer]
}

// NewHostList returns a client that sends requests through c.
func NewHostList(c *jsonhttp.Client, clock clockwork.Clock) *HostList {
	return &HostList{http: c, last: lastAnswer[HostsAnswer]{clock: clock}}
}

// Read requests the list. On failure it returns the last answer with its age,
// and the error.
func (l *HostList) Read(ctx context.Context) (Answer[HostsAnswer], error) {
	return l.last.fetch(ctx, l.http, PathHosts)
}

// Last returns the last answer without a request.
func (l *HostList) Last() Answer[HostsAnswer] { return l.last.get() }

// EndpointInterface reads the endpoint list and sends orders. It is safe for
// concurrent use.
type EndpointInterface struct {
	http *jsonhttp.Client
	last lastAnswer[EndpointsAnswer]
}

// NewEndpointInterface returns a client that sends requests through c. For
// orders, c should use a new connection for each request, see
// jsonhttp.Options.FreshConnections.
func NewEndpointInterface(c *jsonhttp.Client, clock clockwork.Clock) *EndpointInterface {
	return &EndpointInterface{http: c, last: lastAnswer[EndpointsAnswer]{clock: clock}}
}

// Read requests the list. On failure it returns the last answer with its age,
// and the error.
func (i *EndpointInterface) Read(ctx context.Context) (Answer[EndpointsAnswer], error) {
	return i.last.fetch(ctx, i.http, PathEndpoints)
}

// Last returns the last answer without a request.
func (i *EndpointInterface) Last() Answer[EndpointsAnswer] { return i.last.get() }

// List requests the endpoints. Unlike Read it returns no earlier answer.
func (i *EndpointInterface) List(ctx context.Context) ([]endpoint.Endpoint, error) {
	answer, err := i.Read(ctx)
	if err != nil {
		return nil, err
	}
	return answer.Value.Endpoints, nil
}

// Provision orders an endpoint. Errors wrap ErrNoEffect (a *RefusedError if the
// platform refused) or ErrOutcomeUnknown.
func (i *EndpointInterface) Provision(ctx context.Context, order ProvisionOrder) (ProvisionAnswer, error) {
	var answer ProvisionAnswer
	err := i.http.Do(ctx, http.MethodPost, PathProvision, order, &answer)
	return answer, classify(err)
}

// Release orders the release of an endpoint. Errors are those of Provision.
func (i *EndpointInterface) Release(ctx context.Context, order ReleaseOrder) (ReleaseAnswer, error) {
	var answer ReleaseAnswer
	err := i.http.Do(ctx, http.MethodPost, PathRelease, order, &answer)
	return answer, classify(err)
}

// UsageInterface sends usage reports. It is safe for concurrent use.
type UsageInterface struct {
	http *jsonhttp.Client
	last lastAnswer[UsageAnswer]
}

// NewUsageInterface returns a client that sends requests through c.
func NewUsageInterface(c *jsonhttp.Client, clock clockwork.Clock) *UsageInterface {
	return &UsageInterface{http: c, last: lastAnswer[UsageAnswer]{clock: clock}}
}

// Report sends a report. Errors wrap ErrNoEffect (a *RefusedError if the
// platform refused) or ErrOutcomeUnknown. The same report may be sent again with
// the same ID.
func (u *UsageInterface) Report(ctx context.Context, report UsageReport) (UsageAnswer, error) {
	var answer UsageAnswer
	sentAt := u.last.clock.Now()
	if err := u.http.Do(ctx, http.MethodPost, PathUsage, report, &answer); err != nil {
		return answer, classify(err)
	}
	u.last.set(answer, sentAt)
	return answer, nil
}

// Last returns the last answer. Its Age is the time since the last successful
// request was sent.
func (u *UsageInterface) Last() Answer[UsageAnswer] { return u.last.get() }

// WeightStore reads the size and the fetch time of model weights. It is safe for
// concurrent use.
type WeightStore struct {
	http  *jsonhttp.Client
	clock clockwork.Clock
	mu    sync.Mutex
	last  map[string]*lastAnswer[Weights]
}

// NewWeightStore returns a client that sends requests through c.
func NewWeightStore(c *jsonhttp.Client, clock clockwork.Clock) *WeightStore {
	return &WeightStore{http: c, clock: clock, last: map[string]*lastAnswer[Weights]{}}
}

// Weights requests the data of a model's version. On failure it returns the last
// answer for the same version with its age, and the error: a *RefusedError with
// CodeRateLimited if the store's rate limit is reached.
func (w *WeightStore) Weights(ctx context.Context, model, version string) (Answer[Weights], error) {
	path := PathWeights + "/" + model + "/" + version
	answer, err := w.lastAnswerOf(path).fetch(ctx, w.http, path)
	return answer, classify(err)
}

func (w *WeightStore) lastAnswerOf(path string) *lastAnswer[Weights] {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.last[path]
	if l == nil {
		l = &lastAnswer[Weights]{clock: w.clock}
		w.last[path] = l
	}
	return l
}
