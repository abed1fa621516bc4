package gate

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

const chatBody = `{"model":"notes","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}`

// Guards against refusals with a wrong code or without ran "no".
func TestRefusals(t *testing.T) {
	tg := newTestGate(t, DefaultLimits)
	tests := []struct {
		name, path, key, body string
		keyStatus             KeyStatus
		status                int
		code                  string
	}{
		{"missing key", "/v1/chat/completions", "", chatBody, KeyUsable, 401, "missing_key"},
		{"unknown key", "/v1/chat/completions", "other", chatBody, KeyUsable, 401, "unknown_key"},
		{"withdrawn key", "/v1/chat/completions", testKey, chatBody, KeyWithdrawn, 401, "key_withdrawn"},
		{"unconfirmed key", "/v1/chat/completions", testKey, chatBody, KeyUnconfirmed, 503, "key_unconfirmed"},
		{"broken JSON", "/v1/chat/completions", testKey, `{"model":`, KeyUsable, 400, "invalid_request"},
		{"unknown model", "/v1/chat/completions", testKey, strings.Replace(chatBody, "notes", "none", 1), KeyUsable, 404, "unknown_model"},
		{"team not allowed", "/v1/chat/completions", testKey, strings.Replace(chatBody, "notes", "private", 1), KeyUsable, 403, "team_not_allowed"},
		{"unknown path", "/nothing", testKey, "", KeyUsable, 404, "not_found"},
		{"no endpoint", "/v1/chat/completions", testKey, chatBody, KeyUsable, 503, "no_endpoint"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			tg.config.set(test.keyStatus)
			status, body := tg.post(t, test.path, test.key, test.body)
			if status != test.status || !strings.Contains(body, `"code":"`+test.code+`"`) || !strings.Contains(body, `"ran":"no"`) {
				t.Fatalf("got %d %s, want %d %s with ran no", status, body, test.status, test.code)
			}
		})
	}
}

func completeStream(n int) func(enginewire.GenerateRequest, *eventWriter) {
	return func(request enginewire.GenerateRequest, w *eventWriter) {
		w.tokens(request.SkipTokens, n)
		w.done(n)
	}
}

func checkComplete(t *testing.T, body string, n int) {
	t.Helper()
	for i := range n {
		if strings.Count(body, fmt.Sprintf("t%d ", i)) != 1 {
			t.Fatalf("token %d does not occur once in %s", i, body)
		}
	}
	if !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Fatalf("answer does not end with [DONE]: %s", body)
	}
}

// Guards against lost or repeated tokens when a stream moves to another
// endpoint after a break, a silent connection, an event of another request or
// a token out of order.
func TestStreamResumesOnAnotherEndpoint(t *testing.T) {
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	failures := map[string]func(enginewire.GenerateRequest, *eventWriter){
		"break":  func(_ enginewire.GenerateRequest, w *eventWriter) { w.tokens(0, 3) },
		"silent": func(_ enginewire.GenerateRequest, w *eventWriter) { w.tokens(0, 3); <-ended },
		"crossed": func(_ enginewire.GenerateRequest, w *eventWriter) {
			w.tokens(0, 3)
			_ = w.send(enginewire.Event{RequestID: "req-other", Index: 3, Token: "secret"})
		},
		"out of order": func(_ enginewire.GenerateRequest, w *eventWriter) { w.tokens(0, 3); w.tokens(2, 6) },
	}
	for name, failure := range failures {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGate(t, DefaultLimits, engine(t, failure), engine(t, completeStream(6)))
			status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody)
			if status != 200 || strings.Contains(body, "secret") {
				t.Fatalf("got %d %s, want 200 without the token of another request", status, body)
			}
			checkComplete(t, body, 6)
		})
	}
}

// Guards against an answer that is cut because its engine is silent for longer than
// the progress timeout, although no other engine can take over, and against a retry
// that is taken from the budget twice.
func TestSilentEngineWithoutAlternativeIsKept(t *testing.T) {
	pauses := func(request enginewire.GenerateRequest, w *eventWriter) {
		w.tokens(request.SkipTokens, 3)
		time.Sleep(700 * time.Millisecond)
		w.tokens(3, 6)
		w.done(6)
	}
	tests := []struct {
		name    string
		engines []string
		retries int64
		moves   bool
	}{
		{"one engine", []string{engine(t, pauses)}, -1, false},
		{"no budget", []string{engine(t, pauses), engine(t, completeStream(6))}, 0, false},
		{"one retry", []string{engine(t, pauses), engine(t, completeStream(6))}, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			tg := newTestGate(t, DefaultLimits, test.engines...)
			if test.retries >= 0 {
				tg.dispatch.retries = new(atomic.Int64)
				tg.dispatch.retries.Store(test.retries)
			}
			began := time.Now()
			status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody)
			if status != 200 {
				t.Fatalf("got %d %s, want 200", status, body)
			}
			checkComplete(t, body, 6)
			if moved := time.Since(began) < 600*time.Millisecond; moved != test.moves {
				t.Errorf("answered after %v by another engine: %v, want %v", time.Since(began), moved, test.moves)
			}
		})
	}
}

// Guards against an incomplete answer that looks complete.
func TestBrokenAnswerIsVisiblyIncomplete(t *testing.T) {
	breaks := func(request enginewire.GenerateRequest, w *eventWriter) { w.tokens(request.SkipTokens, 3) }
	tg := newTestGate(t, DefaultLimits, engine(t, breaks))
	body := tg.postBroken(t, "/v1/chat/completions", testKey, chatBody)
	if strings.Contains(body, "[DONE]") || !strings.Contains(body, `"ran":"unknown"`) {
		t.Fatalf("got %s, want ran unknown and no [DONE]", body)
	}
	if ended := <-tg.recorder.ended; ended.Outcome == OutcomeComplete {
		t.Fatalf("broken answer recorded as complete: %+v", ended)
	}
}

// Guards against an "unknown" for a request that every engine refused before
// running it, and against a retry budget spent on planned changes.
func TestDrainingEnginesAreSkipped(t *testing.T) {
	draining := func() string {
		return serveHTTP(t, func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(503)
			ctx.SetBodyString(`{"code":"draining"}`)
		})
	}
	tg := newTestGate(t, DefaultLimits, draining(), draining(), engine(t, completeStream(6)))
	if status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody); status != 200 {
		t.Fatalf("got %d %s, want 200 from the third engine", status, body)
	}
	tg = newTestGate(t, DefaultLimits, draining(), draining(), draining(), draining(), draining())
	if status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody); status != 503 || !strings.Contains(body, `"ran":"no"`) {
		t.Fatalf("got %d %s, want 503 with ran no", status, body)
	}
}

// Guards against a "not run" for a request that an engine had begun to run
// before the next attempt was refused.
func TestRefusedRetryDoesNotSayNotRun(t *testing.T) {
	breaks := func(enginewire.GenerateRequest, *eventWriter) {}
	tg := newTestGate(t, DefaultLimits, engine(t, breaks))
	_, body := tg.post(t, "/v1/chat/completions", testKey, chatBody)
	if !strings.Contains(body, `"code":"no_endpoint"`) || !strings.Contains(body, `"ran":"unknown"`) {
		t.Fatalf("got %s, want no_endpoint with ran unknown", body)
	}
}

// Guards against a withdrawn key that goes on working on an open stream.
func TestWithdrawnKeyEndsRunningStream(t *testing.T) {
	endless := func(_ enginewire.GenerateRequest, w *eventWriter) {
		for i := 0; w.send(enginewire.Event{Index: i, Token: "x"}) == nil; i++ {
			time.Sleep(10 * time.Millisecond)
		}
	}
	tg := newTestGate(t, DefaultLimits, engine(t, endless))
	time.AfterFunc(100*time.Millisecond, func() { tg.config.set(KeyWithdrawn) })
	body := tg.postBroken(t, "/v1/chat/completions", testKey, chatBody)
	if !strings.Contains(body, "key_withdrawn") || strings.Contains(body, "[DONE]") {
		t.Fatalf("got %s, want key_withdrawn and no [DONE]", body)
	}
}

// Guards against an engine that goes on generating for a disconnected caller.
func TestCallerGoneCancelsAtTheEngine(t *testing.T) {
	cancelled := make(chan struct{})
	keepAliveOnly := func(_ enginewire.GenerateRequest, w *eventWriter) {
		defer close(cancelled)
		for {
			if _, err := w.w.WriteString(": keep-alive\n\n"); err != nil {
				return
			}
			if w.w.Flush() != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	tg := newTestGate(t, DefaultLimits, engine(t, keepAliveOnly))
	conn, err := net.Dial("tcp", tg.address)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(chatBody), chatBody)
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		t.Fatal("the engine still runs the request")
	}
}

// Guards against a caller's key in anything that an endpoint receives.
func TestNoEndpointSeesTheKey(t *testing.T) {
	var seen atomic.Value
	seen.Store("")
	address := serveHTTP(t, func(ctx *fasthttp.RequestCtx) {
		seen.Store(seen.Load().(string) + ctx.Request.String())
		ctx.SetStatusCode(503)
	})
	tg := newTestGate(t, DefaultLimits, address)
	_, _ = tg.post(t, "/v1/chat/completions", testKey, chatBody)
	_, _ = tg.post(t, "/orders/shipments", testKey, `{}`)
	text := seen.Load().(string)
	if !strings.Contains(text, "/orders/shipments") || !strings.Contains(text, enginewire.PathGenerate) {
		t.Fatalf("endpoint did not get both requests: %s", text)
	}
	if strings.Contains(text, testKey) || strings.Contains(text, "Authorization") {
		t.Fatalf("endpoint saw the key: %s", text)
	}
}

// Guards against a second run of a request that may not be repeated, after its
// answer was lost.
func TestServiceCallIsNotRepeated(t *testing.T) {
	var runs atomic.Int32
	dropAnswer := func(ctx *fasthttp.RequestCtx) {
		runs.Add(1)
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
	}
	tg := newTestGate(t, DefaultLimits, serveHTTP(t, dropAnswer), serveHTTP(t, dropAnswer))
	status, body := tg.post(t, "/orders/shipments", testKey, `{}`)
	if status != 502 || !strings.Contains(body, `"ran":"unknown"`) || runs.Load() != 1 {
		t.Fatalf("got %d %s after %d runs, want 502 with ran unknown after 1 run", status, body, runs.Load())
	}
	runs.Store(0)
	if _, _ = tg.post(t, "/stock/gourds", "", ``); runs.Load() != 2 {
		t.Fatalf("a repeatable request ran %d times, want one try on each endpoint", runs.Load())
	}
}

// Guards against a refused order when only one of several endpoints cannot be
// reached. It has not seen the request, so another one may run it.
func TestUnreachableServiceIsSkipped(t *testing.T) {
	var runs atomic.Int32
	unreachable := listen(t)
	_ = unreachable.Close()
	works := serveHTTP(t, func(ctx *fasthttp.RequestCtx) { runs.Add(1) })
	tg := newTestGate(t, DefaultLimits, unreachable.Addr().String(), works)
	if status, body := tg.post(t, "/orders/shipments", testKey, `{}`); status != 200 || runs.Load() != 1 {
		t.Fatalf("got %d %s after %d runs, want 200 after 1 run", status, body, runs.Load())
	}
}

// Guards against oversized and slow requests that hold a connection.
func TestBadSenders(t *testing.T) {
	limits := DefaultLimits
	limits.HeaderBytes = 1024
	limits.BodyBytes = 2048
	limits.RequestReadTimeout = 200 * time.Millisecond
	tg := newTestGate(t, limits)
	tests := []struct{ name, request, want string }{
		{"headers too large", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 4096) + "\r\n\r\n", "431"},
		{"body too large", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("x", 4096), "413"},
		{"slow sender", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx", "408"},
		{"not HTTP", "hello\r\n\r\n", "400"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", tg.address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = conn.Write([]byte(test.request))
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			answer := make([]byte, 4096)
			n, _ := conn.Read(answer)
			if !strings.Contains(string(answer[:n]), "HTTP/1.1 "+test.want) {
				t.Fatalf("got %q, want status %s", answer[:n], test.want)
			}
		})
	}
}

// Guards against panics on arbitrary request bodies.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(chatBody))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"content":null}],"max_tokens":-1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := parseChat(body, 100)
		if err == nil && (request.MaxTokens < 1 || request.MaxTokens > 100 || request.Model == "") {
			t.Fatalf("accepted invalid request %+v", request)
		}
	})
}
