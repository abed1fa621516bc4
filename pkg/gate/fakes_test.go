package gate

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

const testKey = "key-of-team-a"

type fakeConfig struct {
	mu          sync.Mutex
	keyStatuses map[KeyHash]KeyStatus
	quota       *declaration.Quota
}

func newFakeConfig() *fakeConfig {
	return &fakeConfig{keyStatuses: map[KeyHash]KeyStatus{sha256.Sum256([]byte(testKey)): KeyUsable}}
}

func (c *fakeConfig) Key(hash KeyHash) (string, KeyStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return "team-a", c.keyStatuses[hash]
}

func (c *fakeConfig) set(v KeyStatus) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keyStatuses[sha256.Sum256([]byte(testKey))] = v
}

func (c *fakeConfig) ModelRoute(name string) (declaration.Route, bool) {
	switch name {
	case "notes":
		return declaration.Route{Name: name, Kind: declaration.RouteModel, Model: "m", Class: "chat", Repeatable: true}, true
	case "private":
		return declaration.Route{Name: name, Kind: declaration.RouteModel, Model: "m", Class: "chat", Teams: []string{"team-b"}}, true
	}
	return declaration.Route{}, false
}

func (c *fakeConfig) ServiceRoute(path string) (declaration.Route, bool) {
	switch {
	case strings.HasPrefix(path, "/orders/"):
		return declaration.Route{Name: "orders", Kind: declaration.RouteService, Service: "desk", Class: "order"}, true
	case strings.HasPrefix(path, "/stock/"):
		return declaration.Route{Name: "stock", Kind: declaration.RouteService, Service: "desk", Class: "order", Repeatable: true, Open: true}, true
	}
	return declaration.Route{}, false
}

func (c *fakeConfig) Class(name string) (declaration.Class, bool) {
	return declaration.Class{Name: name, Completion: declaration.Duration(2 * time.Second)}, true
}

func (c *fakeConfig) Team(name string) (declaration.Team, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return declaration.Team{Name: name, Quota: c.quota}, true
}

func (c *fakeConfig) Ready() bool { return true }

// fakeDispatcher hands out its endpoints in order, without the excluded ones.
type fakeDispatcher struct {
	addresses []string
	// retries is the retry budget, not bounded if nil.
	retries *atomic.Int64
}

func (d *fakeDispatcher) Acquire(_ context.Context, work *Work) (Assignment, error) {
	for _, a := range d.addresses {
		if !slices.Contains(work.ExcludedEndpoints, a) {
			return &fakeAssignment{e: endpoint.Endpoint{ID: a, Address: a}}, nil
		}
	}
	return nil, refusal.NotRun(503, refusal.CodeNoEndpoint, "no endpoint").WithRetryAfter(time.Second)
}

func (d *fakeDispatcher) Retry(work *Work, _ Failure) (time.Duration, bool) {
	return 0, work.Repeatable && (d.retries == nil || d.retries.Add(-1) >= 0)
}

func (d *fakeDispatcher) GiveUpSilent(work *Work, silent endpoint.Endpoint) (time.Duration, bool) {
	for _, a := range d.addresses {
		if a != silent.ID && !slices.Contains(work.ExcludedEndpoints, a) {
			return d.Retry(work, Failure{})
		}
	}
	return 0, false
}

type fakeAssignment struct{ e endpoint.Endpoint }

func (a *fakeAssignment) Endpoint() endpoint.Endpoint                        { return a.e }
func (a *fakeAssignment) Prefill() (endpoint.Endpoint, bool)                 { return endpoint.Endpoint{}, false }
func (a *fakeAssignment) Priority() int                                      { return 0 }
func (a *fakeAssignment) CannotMeetTarget(time.Duration, time.Duration) bool { return false }
func (a *fakeAssignment) TokenDelivered()                                    {}
func (a *fakeAssignment) Done(Result)                                        {}

type fakeCrashes struct {
	mu     sync.Mutex
	broken int
}

func (c *fakeCrashes) Begin(quarantine.Request) (CrashAttempt, error) { return fakeAttempt{c}, nil }

type fakeAttempt struct{ c *fakeCrashes }

func (fakeAttempt) Exclusive() bool { return false }
func (fakeAttempt) Done()           {}
func (fakeAttempt) Completed()      {}

func (a fakeAttempt) ConnectionBroken(context.Context, endpoint.Endpoint, time.Time) {
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.broken++
}

type directOnce struct{}

func (directOnce) Execute(ctx context.Context, _ *ServiceRequest, send func(context.Context) (ServiceAnswer, error)) (ServiceAnswer, error) {
	return send(ctx)
}

type fakeRecorder struct{ ended chan RequestRecord }

func (r *fakeRecorder) RequestEnded(e RequestRecord) { r.ended <- e }

// testGate is a gate on a loopback listener.
type testGate struct {
	*Gate
	config   *fakeConfig
	dispatch *fakeDispatcher
	crashes  *fakeCrashes
	recorder *fakeRecorder
	address  string
}

func newTestGate(t *testing.T, limits Limits, endpoints ...string) *testGate {
	t.Helper()
	tg := &testGate{config: newFakeConfig(), crashes: &fakeCrashes{}, recorder: &fakeRecorder{ended: make(chan RequestRecord, 16)},
		dispatch: &fakeDispatcher{addresses: endpoints}}
	engines := engineclient.New(engineclient.Options{ProgressTimeout: 300 * time.Millisecond})
	tg.Gate = New(Options{
		Config: tg.config, Dispatcher: tg.dispatch, CrashGuard: tg.crashes,
		OnceExecutor: directOnce{}, Recorder: tg.recorder, Engines: engines, Services: NewServiceClient(nil),
		Log: logging.Discard(), Clock: clockwork.NewRealClock(), Limits: limits,
	})
	listener := listen(t)
	tg.address = listener.Addr().String()
	server := tg.Server()
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(tg.Listener(listener, nil)) }()
	ctx, cancel := context.WithCancel(context.Background())
	checks := make(chan struct{})
	go func() { defer close(checks); tg.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		tg.CancelAll()
		_ = server.Shutdown()
		engines.Close()
		<-done
		<-checks
	})
	return tg
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// serveHTTP runs a handler on a loopback address until the test ends.
func serveHTTP(t *testing.T, handler fasthttp.RequestHandler) string {
	t.Helper()
	l := listen(t)
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true, Logger: discardLogger{}}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = server.ShutdownWithContext(ctx)
		<-done
	})
	return l.Addr().String()
}

// engine serves the engine protocol; script writes each stream.
func engine(t *testing.T, script func(request enginewire.GenerateRequest, w *eventWriter)) string {
	return serveHTTP(t, func(ctx *fasthttp.RequestCtx) {
		var request enginewire.GenerateRequest
		if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
			ctx.SetStatusCode(400)
			return
		}
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
			script(request, &eventWriter{id: request.RequestID, w: w})
		})
	})
}

type eventWriter struct {
	id string
	w  *bufio.Writer
}

func (e *eventWriter) send(event enginewire.Event) error {
	if event.RequestID == "" {
		event.RequestID = e.id
	}
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(e.w, "data: %s\n\n", data)
	return e.w.Flush()
}

// tokens sends the tokens with indexes from (inclusive) to to (exclusive).
func (e *eventWriter) tokens(from, to int) {
	for i := from; i < to; i++ {
		_ = e.send(enginewire.Event{Index: i, Token: fmt.Sprintf("t%d ", i)})
	}
}

func (e *eventWriter) done(n int) {
	_ = e.send(enginewire.Event{Done: true, FinishReason: "stop", PromptTokens: 5, OutputTokens: n})
}

// post sends a request to the gate and returns status and body.
func (tg *testGate) post(t *testing.T, path, key, body string) (int, string) {
	t.Helper()
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + tg.address + path)
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Idempotency-Key", "order-1")
	req.SetBodyString(body)
	if err := fasthttp.DoTimeout(req, resp, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode(), string(resp.Body())
}
