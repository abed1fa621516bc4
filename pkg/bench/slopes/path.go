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
	// pathTokens is about how many tokens are streamed at each size, within the
	// bounds of the number of requests.
	pathTokens = 12_000
	// promptBytes is the size of a prompt.
	promptBytes = 8000
	// longestAnswer is the largest size, in tokens; the stand-in engine's answers
	// have 300 at most.
	longestAnswer = 256
	// standinRate makes the stand-in engine's own waiting negligible.
	standinRate = 1e9
	// meanOutputTokens is the target's 41 million tokens by 150,000 requests.
	meanOutputTokens = 41_000_000 / 150_000
)

func pathSlopes(w windows) []slope {
	return []slope{each(grows{"entry-path", "tokens of an answer; gate, dispatcher, caller and stand-in engine in one process", meanOutputTokens, meanOutputTokens},
		[]int{8, 64, 128, longestAnswer}, []int{4, 16, 32},
		func(ctx context.Context, tokens int) ([]figure, error) { return measurePath(ctx, tokens, w.requests) })}
}

// openConfig lets every caller use one route.
type openConfig struct{}

func (openConfig) Key(gate.KeyHash) (string, gate.KeyVerdict) { return teamName(0), gate.KeyUsable }

func (openConfig) ModelRoute(name string) (declaration.Route, bool) {
	return declaration.Route{Name: name, Kind: declaration.RouteModel, Model: modelName, Class: "chat", Repeatable: true}, true
}

func (openConfig) ServiceRoute(string) (declaration.Route, bool) { return declaration.Route{}, false }

func (openConfig) Class(name string) (declaration.Class, bool) {
	return declaration.Class{Name: name}, true
}

func (openConfig) Team(name string) (declaration.Team, bool) {
	return declaration.Team{Name: name}, true
}

func (openConfig) Ready() bool { return true }

type noCrashes struct{}

func (noCrashes) Begin(quarantine.Fingerprint) (gate.CrashAttempt, error) { return noCrash{}, nil }

type noCrash struct{}

func (noCrash) Alone() bool                                          { return false }
func (noCrash) Done()                                                {}
func (noCrash) Broken(context.Context, endpoint.Endpoint, time.Time) {}

type noRecords struct{}

func (noRecords) RequestEnded(gate.Ended) {}

// path is a gate in front of one stand-in engine.
type path struct {
	engine  *engined.Server
	engines *engineclient.Client
	address string
	caller  *http.Client
	// content is a message that the stand-in answers with longestAnswer tokens
	// at least.
	content string
	close   func()
}

func newPath() (*path, error) {
	engine := engined.New(engined.Options{
		ID: "engine", Model: modelName, PrefillRate: standinRate, DecodeRate: standinRate, StreamRate: standinRate,
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
		Config: openConfig{}, Dispatcher: dispatcher, Crashes: noCrashes{}, Recorder: noRecords{}, Engines: engines,
		Services: gate.NewServiceClient(nil), Log: logging.Discard(), Clock: clock, Limits: gate.DefaultLimits,
	})
	server := g.Server()
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(g.Listener(listener, nil)) }()
	caller := &http.Client{Transport: &http.Transport{}}
	return &path{engine: engine, engines: engines, address: listener.Addr().String(), caller: caller, content: longContent(), close: func() {
		caller.CloseIdleConnections()
		_ = server.Shutdown()
		<-served
		engines.Close()
		_ = engine.Close()
	}}, nil
}

func longContent() string {
	padding := strings.Repeat("p", promptBytes)
	for i := 0; ; i++ {
		if content := fmt.Sprint(i, " ", padding); engined.Length(promptOf(content), 0) >= longestAnswer {
			return content
		}
	}
}

// promptOf is the prompt that the gate makes of one message.
func promptOf(content string) string { return "user: " + content + "\n" }

// direct reads a stream from the engine as a caller without the gate would,
// over HTTP.
func (p *path) direct(ctx context.Context, number, tokens int) error {
	body := fmt.Sprintf(`{"request_id":"direct-%d","model":%q,"prompt":%q,"cache_salt":"s","max_tokens":%d,"priority":0}`,
		number, modelName, promptOf(p.content), tokens)
	return p.stream(ctx, p.engine.Address(), enginewire.PathGenerate, body, tokens)
}

// through reads the same through the gate.
func (p *path) through(ctx context.Context, _, tokens int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		modelName, tokens, p.content)
	return p.stream(ctx, p.address, "/v1/chat/completions", body, tokens)
}

func (p *path) stream(ctx context.Context, address, path, body string, tokens int) error {
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

// cost is what one request takes in the whole process.
type cost struct{ seconds, allocations float64 }

func costOf(ctx context.Context, requests, tokens int, call func(ctx context.Context, number, tokens int) error) (cost, error) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	cpu := processorTime()
	for i := range requests {
		if err := call(ctx, i, tokens); err != nil {
			return cost{}, err
		}
	}
	cpu = processorTime() - cpu
	runtime.ReadMemStats(&after)
	n := float64(requests)
	return cost{cpu.Seconds() / n, float64(after.Mallocs-before.Mallocs) / n}, nil
}

// measurePath runs the same answers through the gate and directly; what the gate
// adds is the difference.
func measurePath(ctx context.Context, tokens, maxRequests int) ([]figure, error) {
	p, err := newPath()
	if err != nil {
		return nil, err
	}
	defer p.close()
	requests := min(maxRequests, pathTokens/tokens)
	for _, call := range []func(context.Context, int, int) error{p.direct, p.through} {
		if _, err := costOf(ctx, 3, tokens, call); err != nil {
			return nil, err
		}
	}
	direct, err := costOf(ctx, requests, tokens, p.direct)
	if err != nil {
		return nil, err
	}
	through, err := costOf(ctx, requests, tokens, p.through)
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
