package slopes

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/dispatch"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/routing"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
)

const (
	// tokensPerSize is the approximate number of tokens streamed at each size;
	// windows.requests bounds the requests.
	tokensPerSize = 12_000
	// promptBytes is the size of a prompt.
	promptBytes = 8000
	// maxAnswerTokens is the largest size, in tokens. The stand-in engine's answers
	// have at most 300.
	maxAnswerTokens = 256
	// standinTokensPerSecond is high enough to make the stand-in engine's
	// delays negligible.
	standinTokensPerSecond = 1e9
	// meanOutputTokens is the target's output tokens per request: 41 million
	// tokens and 150,000 requests a second.
	meanOutputTokens = 41_000_000 / 150_000
)

func pathSlopes(w windows) []slope {
	return []slope{newSlope(sweep{"entry-path", "tokens of an answer; gate, dispatcher, caller and stand-in engine in one process", meanOutputTokens, meanOutputTokens},
		[]int{8, 64, 128, maxAnswerTokens}, []int{4, 16, 32},
		func(ctx context.Context, tokens int) ([]figure, error) { return measurePath(ctx, tokens, w.requests) })}
}

// fakeConfig accepts every key and serves one model route.
type fakeConfig struct{}

func (fakeConfig) Key(gate.KeyHash) (string, gate.KeyStatus) { return teamName(0), gate.KeyUsable }

func (fakeConfig) ModelRoute(name string) (declaration.Route, bool) {
	return declaration.Route{Name: name, Kind: declaration.RouteModel, Model: modelName, Class: "chat", Repeatable: true}, true
}

func (fakeConfig) ServiceRoute(string) (declaration.Route, bool) { return declaration.Route{}, false }

func (fakeConfig) Class(name string) (declaration.Class, bool) {
	return declaration.Class{Name: name}, true
}

func (fakeConfig) Team(name string) (declaration.Team, bool) {
	return declaration.Team{Name: name}, true
}

func (fakeConfig) Ready() bool { return true }

type noCrashes struct{}

func (noCrashes) Begin(quarantine.Request) (gate.CrashAttempt, error) { return noCrash{}, nil }

type noCrash struct{}

func (noCrash) Exclusive() bool                                                { return false }
func (noCrash) Completed()                                                     {}
func (noCrash) Done()                                                          {}
func (noCrash) ConnectionBroken(context.Context, endpoint.Endpoint, time.Time) {}

type noRecords struct{}

func (noRecords) RequestEnded(gate.RequestRecord) {}

// requestPath is a gate in front of one stand-in engine, with an HTTP client for
// both.
type requestPath struct {
	engine  *engined.Server
	engines *engineclient.Client
	address string
	caller  *http.Client
	// content is a message that the stand-in answers with at least
	// maxAnswerTokens tokens.
	content string
	close   func()
}

func newPath() (*requestPath, error) {
	engine := engined.New(engined.Options{
		ID: "engine", Model: modelName, PrefillRate: standinTokensPerSecond, DecodeRate: standinTokensPerSecond, StreamRate: standinTokensPerSecond,
		LoadLag: -1, Step: time.Millisecond,
	})
	if err := engine.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		_ = engine.Close()
		return nil, errors.Wrap(err, "listen for callers")
	}
	engines := engineclient.New(engineclient.Options{})
	clock := clockwork.NewRealClock()
	dispatcher := dispatch.New(dispatch.Options{Domain: "d", Clock: clock, Seed: seed, Delays: routing.UniformDelay(0)})
	dispatcher.Update([]endpoint.Status{{Endpoint: engine.Endpoint("d", "steady"), Load: engine.Load(), HasLoad: true}}, 1)
	g := gate.New(gate.Options{
		Config: fakeConfig{}, Dispatcher: dispatcher, CrashGuard: noCrashes{}, Recorder: noRecords{}, Engines: engines,
		Services: gate.NewServiceClient(nil), Log: logging.Discard(), Clock: clock, Limits: gate.DefaultLimits,
	})
	server := g.Server()
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(g.Listener(listener, nil)) }()
	caller := &http.Client{Transport: &http.Transport{}}
	return &requestPath{engine: engine, engines: engines, address: listener.Addr().String(), caller: caller, content: newContent(), close: func() {
		caller.CloseIdleConnections()
		_ = server.Shutdown()
		<-served
		engines.Close()
		_ = engine.Close()
	}}, nil
}

func newContent() string {
	padding := strings.Repeat("p", promptBytes)
	for i := 0; ; i++ {
		if content := fmt.Sprint(i, " ", padding); engined.AnswerTokens(promptOf(content), 0) >= maxAnswerTokens {
			return content
		}
	}
}

// promptOf returns the prompt that the gate renders from one user message.
func promptOf(content string) string { return "user: " + content + "\n" }

// requestEngine reads a stream directly from the engine over HTTP.
func (p *requestPath) requestEngine(ctx context.Context, number, tokens int) error {
	body := fmt.Sprintf(`{"request_id":"direct-%d","model":%q,"prompt":%q,"cache_salt":"s","max_tokens":%d,"priority":0}`,
		number, modelName, promptOf(p.content), tokens)
	return p.stream(ctx, p.engine.Address(), enginewire.PathGenerate, body, tokens)
}

// requestGate reads the same stream through the gate.
func (p *requestPath) requestGate(ctx context.Context, _, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, tokens, p.content)
	return p.stream(ctx, p.address, "/v1/chat/completions", body, tokens)
}

func (p *requestPath) stream(ctx context.Context, address, path, body string, tokens int) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer slopes")
	request.Header.Set("Content-Type", "application/json")
	answer, err := p.caller.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(answer.Body, 500))
		return errors.Errorf("%s answered %d: %s", path, answer.StatusCode, text)
	}
	events := 0
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
			events++
		}
	}
	if events < tokens {
		return errors.Errorf("%s sent %d events for %d tokens", path, events, tokens)
	}
	return lines.Err()
}

// requestCost is the mean cost of one request in the whole process.
type requestCost struct{ seconds, allocations float64 }

func measureCost(ctx context.Context, requests, tokens int, call func(ctx context.Context, number, tokens int) error) (requestCost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	for i := range requests {
		if err := call(ctx, i, tokens); err != nil {
			return requestCost{}, err
		}
	}
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	n := float64(requests)
	return requestCost{cpu.Seconds() / n, float64(after.Mallocs-before.Mallocs) / n}, nil
}

// measurePath streams the same answers through the gate and directly from the
// engine; the difference is the cost of the gate.
func measurePath(ctx context.Context, tokens, maxRequests int) ([]figure, error) {
	p, err := newPath()
	if err != nil {
		return nil, err
	}
	defer p.close()
	requests := min(maxRequests, tokensPerSize/tokens)
	for _, call := range []func(context.Context, int, int) error{p.requestEngine, p.requestGate} {
		if _, err := measureCost(ctx, 3, tokens, call); err != nil {
			return nil, err
		}
	}
	direct, err := measureCost(ctx, requests, tokens, p.requestEngine)
	if err != nil {
		return nil, err
	}
	through, err := measureCost(ctx, requests, tokens, p.requestGate)
	if err != nil {
		return nil, err
	}
	return []figure{
		{measure: "processor time of a direct request, caller and engine", unit: "µs", value: direct.seconds * 1e6, timed: true},
		{measure: "processor time of a request through the gate, caller and engine included", unit: "µs", value: through.seconds * 1e6, timed: true},
		{measure: "processor time that the gate adds to a request", unit: "µs", value: (through.seconds - direct.seconds) * 1e6, timed: true},
		{measure: "allocations of a direct request, caller and engine", unit: "allocations", value: direct.allocations},
		{measure: "allocations that the gate adds to a request", unit: "allocations", value: through.allocations - direct.allocations},
	}, nil
}
