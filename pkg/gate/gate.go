package gate

import (
	"context"
	"crypto/sha256"
	"expvar"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash = [sha256.Size]byte

// KeyVerdict says whether a key may be used now.
type KeyVerdict int

// Verdicts on keys.
const (
	KeyUnknown KeyVerdict = iota
	KeyUsable
	KeyWithdrawn
	// KeyUnconfirmed keys were valid when this host last knew, which is too
	// long ago.
	KeyUnconfirmed
)

// Config is the configuration in force. Implementations are safe for
// concurrent use.
type Config interface {
	Key(hash KeyHash) (team string, verdict KeyVerdict)
	ModelRoute(name string) (declaration.Route, bool)
	// ServiceRoute returns the route with the longest prefix of path.
	ServiceRoute(path string) (declaration.Route, bool)
	Class(name string) (declaration.Class, bool)
	Team(name string) (declaration.Team, bool)
	Ready() bool
}

// Work describes a request to the Dispatcher.
type Work struct {
	RequestID string
	Team      string
	Class     declaration.Class
	// Model is set for model work, Service for service work.
	Model   string
	Service string
	// Repeatable work may run more than once.
	Repeatable bool
	Prompt     []byte
	CacheSalt  string
	MaxTokens  int
	// Alone asks for an endpoint that runs no other suspected request.
	Alone bool
	// Delivered counts the tokens that earlier attempts delivered.
	Delivered int
	// Exclude lists the endpoints that failed this request.
	Exclude []string
	// Arrived is when the caller's request was complete.
	Arrived time.Time
}

// Assignment is an endpoint reserved for one attempt.
type Assignment interface {
	Endpoint() endpoint.Endpoint
	// Prefill returns the engine that computes the prompt first, if it is
	// another one than Endpoint.
	Prefill() (endpoint.Endpoint, bool)
	// Priority is the priority for the engine.
	Priority() int
	// Token records the delivery of a token.
	Token()
	// Useless reports whether the answer can no longer be complete within its
	// class's target, given the time since the request arrived and the mean time
	// per token so far.
	Useless(elapsed, perToken time.Duration) bool
	// Done ends the attempt and releases the reservation. It is called once.
	Done(Result)
}

// Result is how one attempt ended.
type Result struct {
	PromptTokens, CachedTokens, OutputTokens int
	// Err is nil after a whole answer.
	Err error
}

// Dispatcher chooses endpoints. Acquire may wait until the work can start; its
// errors are *refusal.Refusal with ran "no". Retry asks the retry budget before
// a repeated attempt and returns how long to wait for it.
type Dispatcher interface {
	Acquire(ctx context.Context, work *Work) (Assignment, error)
	Retry(work *Work, failure Failure) (wait time.Duration, again bool)
}

// Failure describes a failed attempt to the retry budget.
type Failure struct {
	// NotRun says that the endpoint certainly did not run the request.
	NotRun bool
	// Planned says that it refused because of a planned change.
	Planned bool
}

// CrashGuard recognises requests that crash endpoints. Implementations are
// safe for concurrent use.
type CrashGuard interface {
	// Begin admits one attempt. Errors are *refusal.Refusal with ran "no". The
	// caller ends the attempt with exactly one of Broken and Done.
	Begin(f quarantine.Fingerprint) (CrashAttempt, error)
}

// CrashAttempt is one run of a request on one endpoint.
type CrashAttempt interface {
	// Alone says that the endpoint must run no other suspected request.
	Alone() bool
	// Broken ends the attempt, sent at the given time, after the connection to e
	// broke.
	Broken(ctx context.Context, e endpoint.Endpoint, sent time.Time)
	// Done ends the attempt otherwise.
	Done()
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	RequestID      string
	Team           string
	Route          declaration.Route
	Method         string
	URI            string
	ContentType    string
	Body           []byte
	IdempotencyKey string
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set when the outcome of an earlier attempt is known but its
	// body was too large to keep.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

// OnceExecutor runs requests that may not be repeated. Errors are
// *refusal.Refusal.
type OnceExecutor interface {
	Execute(ctx context.Context, request *ServiceRequest, send func(context.Context) (ServiceAnswer, error)) (ServiceAnswer, error)
}

// Outcome classifies an ended request for service levels.
type Outcome int

// Outcomes of requests.
const (
	OutcomeWhole Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeUnknown
	OutcomeCallerGone
)

// Ended is the record of one ended request.
type Ended struct {
	Team, Class, Route string
	Outcome            Outcome
	// FirstToken, BetweenTokens (mean) and Completion are zero where they did
	// not occur.
	FirstToken, BetweenTokens, Completion    time.Duration
	PromptTokens, CachedTokens, OutputTokens int
}

// Recorder takes ended requests and delivered tokens. Implementations are safe
// for concurrent use and do not block.
type Recorder interface {
	RequestEnded(Ended)
}

// Limits bound what a caller may send; see settings for units and defaults.
type Limits struct {
	HeaderBytes       int
	BodyBytes         int
	RequestReadTime   time.Duration
	WriteProgressTime time.Duration
	IdleTime          time.Duration
	MaxOutputTokens   int
	Concurrency       int
}

// DefaultLimits suit small entry hosts.
var DefaultLimits = Limits{
	HeaderBytes:       16 << 10,
	BodyBytes:         8 << 20,
	RequestReadTime:   10 * time.Second,
	WriteProgressTime: 20 * time.Second,
	IdleTime:          60 * time.Second,
	MaxOutputTokens:   32768,
	Concurrency:       65536,
}

// KeyCheckInterval is how often the keys of running requests are checked.
const KeyCheckInterval = 500 * time.Millisecond

// maxAttempts bounds the endpoints that one request may try, besides the retry
// budget.
const maxAttempts = 4

// Options are the dependencies of a Gate.
type Options struct {
	Config     Config
	Dispatcher Dispatcher
	Crashes    CrashGuard
	Once       OnceExecutor
	Recorder   Recorder
	Engines    *engineclient.Client
	Services   *ServiceClient
	Log        log.Interface
	Clock      clockwork.Clock
	Limits     Limits
}

// Gate serves callers. It is safe for concurrent use.
type Gate struct {
	Options
	inflight *inflight
	stopping atomic.Bool
	// refusals counts refused requests by code.
	refusals expvar.Map
}

// New returns a gate; Run must be called for key checks to take place.
func New(opts Options) *Gate {
	return &Gate{Options: opts, inflight: newInflight()}
}

// Run checks the keys and the callers of running requests until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(KeyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.endUnusableKeys()
			g.inflight.cancelGone()
		}
	}
}

// Stop makes the gate close each connection after its current request. New
// requests are served until the listener is closed.
func (g *Gate) Stop() { g.stopping.Store(true) }

// Refusals counts the requests that were refused before an answer began, by
// code.
func (g *Gate) Refusals() expvar.Var { return &g.refusals }

// InFlight returns the number of running requests.
func (g *Gate) InFlight() int { return g.inflight.len() }

// CancelAll ends all running requests and returns their ids.
func (g *Gate) CancelAll() []string {
	return g.inflight.cancelAll(refusal.Unknown(503, refusal.CodeStopping, "the host was stopped before the answer was complete"))
}

// Handle serves one request.
func (g *Gate) Handle(ctx *fasthttp.RequestCtx) {
	requestID := "req-" + uuid.NewString()
	ctx.Response.Header.Set("X-Request-Id", requestID)
	if g.stopping.Load() {
		ctx.SetConnectionClose()
	}
	if err := g.route(ctx, requestID); err != nil {
		g.writeRefusal(ctx, requestID, refusal.From(err))
	}
}

func (g *Gate) route(ctx *fasthttp.RequestCtx, requestID string) error {
	if !g.Config.Ready() {
		return refusal.NotRun(503, refusal.CodeNotReady, "this host has no confirmed configuration yet").WithRetryAfter(time.Second)
	}
	path := string(ctx.Path())
	switch path {
	case "/v1/chat/completions":
		if !ctx.IsPost() {
			return refusal.NotRun(405, refusal.CodeMethodNotAllowed, "use POST")
		}
		return g.chat(ctx, requestID)
	default:
		return g.service(ctx, requestID, path)
	}
}

func (g *Gate) writeRefusal(ctx *fasthttp.RequestCtx, requestID string, r *refusal.Refusal) {
	fields := log.Fields{"request_id": requestID, "step": "refuse", "code": r.Code, "ran": string(r.Ran), "peer": ctx.RemoteAddr().String()}
	if r.Cause != nil {
		fields["cause"] = r.Cause.Error()
	}
	g.Log.WithFields(fields).Info("request refused")
	g.refusals.Add(r.Code, 1)
	ctx.SetStatusCode(r.Status)
	ctx.SetContentType("application/json")
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set("Retry-After", retryAfterSeconds(r.RetryAfter))
	}
	ctx.SetBody(r.JSON(requestID))
}
