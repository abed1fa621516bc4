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

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/callerconn"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// KeyHash is the SHA-256 of a caller's key.
type KeyHash = [sha256.Size]byte

// KeyStatus says whether a key may be used now.
type KeyStatus int

// Statuses of keys.
const (
	KeyUnknown KeyStatus = iota
	KeyUsable
	KeyWithdrawn
	// KeyUnconfirmed means that the configuration of this host was confirmed
	// too long ago to decide about the key.
	KeyUnconfirmed
)

// Config is the configuration in force. Implementations are safe for
// concurrent use.
type Config interface {
	// Key returns the team of a key and whether the key may be used.
	Key(hash KeyHash) (team string, status KeyStatus)
	// ModelRoute returns the route of the model name in a request.
	ModelRoute(name string) (declaration.Route, bool)
	// ServiceRoute returns the route with the longest prefix of path.
	ServiceRoute(path string) (declaration.Route, bool)
	Class(name string) (declaration.Class, bool)
	Team(name string) (declaration.Team, bool)
	// Ready reports whether the host has a confirmed configuration.
	Ready() bool
}

// Work describes a request to the Dispatcher.
type Work struct {
	RequestID string
	Team      string
	Class     declaration.Class
	// Model is set for a model request, Service for a service call.
	Model   string
	Service string
	// Repeatable work may run more than once.
	Repeatable bool
	Prompt     []byte
	CacheSalt  string
	MaxTokens  int
	// Exclusive asks for an endpoint that runs no other request suspected of
	// crashing endpoints.
	Exclusive bool
	// Delivered counts the tokens that earlier attempts delivered.
	Delivered int
	// ExcludedEndpoints lists the endpoints that failed this request.
	ExcludedEndpoints []string
	// ArrivedAt is when the caller's request was complete.
	ArrivedAt time.Time
}

// Assignment is an endpoint reserved for one attempt.
type Assignment interface {
	Endpoint() endpoint.Endpoint
	// Prefill returns the engine that runs the prefill, if it is not Endpoint.
	Prefill() (endpoint.Endpoint, bool)
	// Priority is sent to the engine; a higher value runs first.
	Priority() int
	// TokenDelivered records the delivery of one token.
	TokenDelivered()
	// CannotMeetTarget reports whether the answer can no longer be complete
	// within its class's target, given the time since the request arrived and the
	// mean time per token so far.
	CannotMeetTarget(elapsed, perToken time.Duration) bool
	// Done ends the attempt and releases the reservation. It is called once.
	Done(Result)
}

// Result is how one attempt ended.
type Result struct {
	PromptTokens, CachedTokens, OutputTokens int
	// Err is nil after a complete answer.
	Err error
	// RetryAfter is the time for which the endpoint that answered wants no further
	// requests; zero if it did not say.
	RetryAfter time.Duration
}

// Dispatcher chooses endpoints. Acquire may wait until the work can start; its
// errors are *refusal.Refusal with ran "no". Retry reports whether the retry
// budget allows another attempt, and how long to wait before it. GiveUpSilent reports
// whether another endpoint can take over from a silent one now; if so, it takes the
// retry like Retry.
type Dispatcher interface {
	Acquire(ctx context.Context, work *Work) (Assignment, error)
	Retry(work *Work, failure Failure) (wait time.Duration, allowed bool)
	GiveUpSilent(work *Work, silent endpoint.Endpoint) (wait time.Duration, giveUp bool)
}

// Failure describes a failed attempt to the retry budget.
type Failure struct {
	// NotRun says that the endpoint certainly did not run the request.
	NotRun bool
	// Planned says that the endpoint refused because of a planned change.
	Planned bool
}

// CrashGuard recognises requests that crash endpoints. Implementations are
// safe for concurrent use.
type CrashGuard interface {
	// Begin admits one attempt. Errors are *refusal.Refusal with ran "no". The
	// caller ends the attempt with exactly one of Completed, ConnectionBroken and Done.
	Begin(request quarantine.Request) (CrashAttempt, error)
}

// CrashAttempt is one run of a request on one endpoint.
type CrashAttempt interface {
	// Exclusive says that the endpoint must run no other suspected request.
	Exclusive() bool
	// ConnectionBroken ends the attempt after the connection to e broke; sent is
	// when the attempt was sent.
	ConnectionBroken(ctx context.Context, e endpoint.Endpoint, sent time.Time)
	// Completed ends the attempt after a complete answer.
	Completed()
	// Done ends the attempt in every other case.
	Done()
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	RequestID   string
	Team        string
	Route       declaration.Route
	Method      string
	URI         string
	ContentType string
	// Body refers to the server's buffer until the request has been served.
	Body           []byte
	IdempotencyKey string
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type,omitempty"`
	Body        []byte `json:"body,omitempty"`
	// BodyOmitted is set when the outcome of an earlier attempt is known but its
	// body was too large to keep.
	BodyOmitted bool `json:"body_omitted,omitempty"`
	// RetryAfter is the time for which the service's endpoint wants no further
	// requests; zero if it did not say. It is not part of a recorded answer.
	RetryAfter time.Duration `json:"-"`
}

// OnceExecutor runs each request at most once and calls send to send it. Errors
// are *refusal.Refusal.
type OnceExecutor interface {
	Execute(ctx context.Context, request *ServiceRequest, send func(context.Context) (ServiceAnswer, error)) (ServiceAnswer, error)
}

// Outcome classifies an ended request for service levels.
type Outcome int

// Outcomes of requests.
const (
	OutcomeComplete Outcome = iota
	OutcomeRefused
	OutcomeFailed
	OutcomeUnknown
	OutcomeCallerGone
)

// RequestRecord is the record of one ended request.
type RequestRecord struct {
	Team, Class, Route string
	Outcome            Outcome
	// TimeToFirstToken and CompletionTime count from the arrival of the request.
	// TimePerOutputToken is a mean. A time that did not occur is zero.
	TimeToFirstToken, TimePerOutputToken, CompletionTime time.Duration
	PromptTokens, CachedTokens, OutputTokens             int
}

// Recorder records ended requests. Implementations are safe for concurrent use
// and do not block.
type Recorder interface {
	RequestEnded(RequestRecord)
}

// Quotas decides on the tokens of teams that have a quota. Tokens of requests that have
// not run are given back with Return. Implementations are safe for concurrent use.
type Quotas interface {
	Take(ctx context.Context, team string, limit quota.Limit, tokens float64) quotashare.Result
	Return(team string, taken quotashare.Result)
}

// Limits bound the requests and connections of callers; see package settings.
type Limits struct {
	HeaderBytes          int
	BodyBytes            int
	RequestReadTimeout   time.Duration
	WriteProgressTimeout time.Duration
	IdleTimeout          time.Duration
	MaxOutputTokens      int
	Concurrency          int
	// MemoryBytes is the memory of the host; zero means that what is held for callers
	// is not bounded.
	MemoryBytes int64
}

// DefaultLimits suit small entry hosts.
var DefaultLimits = Limits{
	HeaderBytes:          16 << 10,
	BodyBytes:            8 << 20,
	RequestReadTimeout:   10 * time.Second,
	WriteProgressTimeout: 20 * time.Second,
	IdleTimeout:          60 * time.Second,
	MaxOutputTokens:      32768,
	Concurrency:          65536,
}

// KeyCheckInterval is how often the keys of running requests are checked.
const KeyCheckInterval = 500 * time.Millisecond

// chatPath is the path of model requests.
const chatPath = "/v1/chat/completions"

// maxAttempts bounds the endpoints that one request may try, in addition to the
// retry budget.
const maxAttempts = 4

// Options are the dependencies of a Gate.
type Options struct {
	Config       Config
	Dispatcher   Dispatcher
	CrashGuard   CrashGuard
	OnceExecutor OnceExecutor
	Recorder     Recorder
	// Quotas is used only for teams that declare a quota.
	Quotas   Quotas
	Engines  *engineclient.Client
	Services *ServiceClient
	Log      log.Interface
	Clock    clockwork.Clock
	Limits   Limits
}

// Gate serves callers. It is safe for concurrent use.
type Gate struct {
	Options
	inflight *inflightRequests
	conns    *callerconn.Tracker
	writes   callerconn.WriteProgress
	// accepting is the listener for callers, nil before Listener is called.
	accepting atomic.Pointer[acceptretry.Listener]
	memory    *membudget.Budget
	stopping  atomic.Bool
	// refusals counts refused requests by code.
	refusals expvar.Map
}

// New returns a gate. Only Run cancels the requests of unusable keys and
// disconnected callers.
func New(opts Options) *Gate {
	g := &Gate{Options: opts, inflight: newInflight(), conns: callerconn.NewTracker(func() callerconn.Timeouts {
		return callerconn.Timeouts{Idle: opts.Limits.IdleTimeout, Read: opts.Limits.RequestReadTimeout}
	}), memory: membudget.New(membudget.HostLimit(opts.Limits.MemoryBytes))}
	g.conns.UseBudget(g.memory, opts.Limits.HeaderBytes)
	g.conns.Limit(opts.Limits.Concurrency, opts.Log)
	if opts.Services != nil {
		opts.Services.freeDescriptor = g.FreeDescriptor
		opts.Services.answers = membudget.NewAnswers(g.memory)
	}
	g.writes.Timeout = func() time.Duration { return opts.Limits.WriteProgressTimeout }
	return g
}

// Run cancels the requests whose key is no longer usable or whose caller has
// disconnected, until ctx ends.
func (g *Gate) Run(ctx context.Context) {
	ticker := g.Clock.NewTicker(KeyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			g.cancelUnusableKeys()
			g.inflight.cancelDisconnected()
		}
	}
}

// BeginDrain makes the gate close each connection after its current request. New
// requests are served until the listener is closed.
func (g *Gate) BeginDrain() { g.stopping.Store(true) }

// Refusals counts the requests that were refused before an answer began, by
// code.
func (g *Gate) Refusals() expvar.Var { return &g.refusals }

// ClosedIdle counts the connections of callers that were closed as idle.
func (g *Gate) ClosedIdle() expvar.Var { return &g.conns.ClosedIdle }

// ReadInClose counts the requests that were read after CloseConnections.
func (g *Gate) ReadInClose() expvar.Var { return &g.conns.ReadInClose }

// Accepting reports whether the listener can accept connections.
func (g *Gate) Accepting() bool {
	l := g.accepting.Load()
	return l == nil || !l.Failing()
}

// FreeDescriptor closes an idle connection to an engine or, if there is none, one of a
// caller. It reports whether there was one.
func (g *Gate) FreeDescriptor() bool {
	return g.Engines != nil && g.Engines.CloseLongestIdle() || g.conns.CloseOne()
}

// ConnectionCounts returns the metrics of the limits of connections.
func (g *Gate) ConnectionCounts() map[string]int64 {
	idle, reading := g.conns.ClosedForRoom()
	counts := map[string]int64{
		"open": int64(g.conns.Open()), "limit": int64(g.Limits.Concurrency), "refused": g.conns.Refused().Value(),
		"closed_for_room_idle": idle.Value(), "closed_for_room_reading": reading.Value(), "writes_stalled": g.writes.Stalled.Value(),
	}
	if l := g.accepting.Load(); l != nil {
		counts["accepts_failed"] = l.Failures().Value()
		counts["refused_without_descriptors"] = l.Refused().Value()
	}
	if g.Engines != nil {
		counts["engines_open"], counts["engines_closed_for_room"] = g.Engines.Open()
	}
	return counts
}

// Memory returns the figures of what is held for callers.
func (g *Gate) Memory() membudget.Stats { return g.memory.Stats() }

// InFlight returns the number of running requests.
func (g *Gate) InFlight() int { return g.inflight.len() }

// CancelAll cancels all running requests and returns their ids.
func (g *Gate) CancelAll() []string {
	return g.inflight.cancelAll(refusal.Unknown(503, refusal.CodeStopping, "the host was stopped before the answer was complete"))
}

// Handle serves one request. It answers every error with a refusal.
func (g *Gate) Handle(ctx *fasthttp.RequestCtx) {
	requestID := "req-" + uuid.NewString()
	ctx.Response.Header.Set("X-Request-Id", requestID)
	if r := g.conns.BeginServe(ctx); r != nil {
		g.writeRefusal(ctx, requestID, r)
		return
	}
	defer g.conns.EndServe(ctx)
	if err := g.route(ctx, requestID); err != nil {
		g.writeRefusal(ctx, requestID, refusal.From(err))
	}
	// The drain may have begun while the request was served.
	if g.stopping.Load() {
		ctx.SetConnectionClose()
	}
}

func (g *Gate) route(ctx *fasthttp.RequestCtx, requestID string) error {
	if !g.Config.Ready() {
		return refusal.NotRun(503, refusal.CodeNotReady, "this host has no confirmed configuration yet").WithRetryAfter(time.Second)
	}
	path := string(ctx.Path())
	switch path {
	case chatPath:
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
