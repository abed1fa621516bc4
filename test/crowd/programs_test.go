package crowd

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/freeport"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
	"github.com/clementineshed/clementineshed/platform"
	"github.com/clementineshed/clementineshed/platform/platformtest"
	"github.com/clementineshed/clementineshed/test/e2e"
)

const (
	// relayMemoryMB is the lowest limits.memoryMb that the relay program supports.
	relayMemoryMB = 144
	// serveMemoryMB bounds the resident set of `clementineshed serve`.
	serveMemoryMB = 144
	// bodyLimit is the configured limit of one body, headerLimit that of the headers
	// of one request. The relay program's read buffer always has headerLimit bytes.
	bodyLimit   = 4 << 20
	headerLimit = 64 << 10
	// bulkBytes is the size of a large answer, floodEvents and floodEventBytes that of
	// a large stream.
	bulkBytes       = 3 << 20
	floodEvents     = 64
	floodEventBytes = 32 << 10
	// readyTimeout leaves room for the start of a program on a busy machine.
	readyTimeout = 30 * time.Second
)

// call describes a request to a program.
type call struct {
	method, path, body string
	headers            map[string]string
	// answerPart is in the answer to the request if it is complete.
	answerPart string
}

// target is a running program under test.
type target struct {
	process *e2e.Process
	// address is the one for callers.
	address   string
	memoryMB  int
	openFiles int
	// headers are those of every request. idHeader names the one that differs between
	// requests.
	headers  map[string]string
	idHeader string
	// plain and stream are ordinary requests. order takes a body; bulk and flood have
	// a large answer and a large stream.
	plain, stream, order, bulk, flood call
	requests                          atomic.Int64
}

// head returns the request line and the headers of a request, without the empty
// line that ends them.
func (t *target) head(c call) string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: shop.example\r\n%s: crowd-%d\r\n", c.method, c.path, t.idHeader, t.requests.Add(1))
	for _, headers := range []map[string]string{t.headers, c.headers} {
		for name, value := range headers {
			_, _ = fmt.Fprintf(&b, "%s: %s\r\n", name, value)
		}
	}
	return b.String()
}

// whole returns a complete request.
func (t *target) whole(c call) string {
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", t.head(c), len(c.body), c.body)
}

// programs starts each of the programs with the limit of open files.
var programs = []struct {
	name  string
	start func(t *testing.T, openFiles int) *target
}{{"relay", startRelay}, {"serve", startServe}}

// writeBulk writes an answer of bulkBytes.
func writeBulk(w http.ResponseWriter) { _, _ = w.Write(make([]byte, bulkBytes)) }

// startServe starts a host with `clementineshed serve`, an engine, an order service
// and a service with large answers.
func startServe(t *testing.T, openFiles int) *target {
	t.Helper()
	bulk := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writeBulk(w) }))
	t.Cleanup(func() {
		bulk.CloseClientConnections()
		bulk.Close()
	})
	const domain, service, prefix = "nashua", "bulk", "/bulk/"
	d := e2e.Start(t, e2e.Options{
		Domains: []string{domain}, HostOpenFiles: openFiles, EngineFlags: []string{"--max-batch=512", "--kv-tokens=2000000"},
		EditSettings: func(s *settings.Settings) {
			s.Limits.BodyBytes, s.Limits.HeaderBytes, s.Limits.Memory = bodyLimit, headerLimit, serveMemoryMB<<20
			// A body in one-byte chunks must not be cut off on a slow machine.
			s.Limits.ReadProgress = settings.Duration(30 * time.Second)
			s.Log.Level = "info"
		},
		EditDeclarations: func(doc *declaration.Document) {
			// A busy machine can keep a host from confirming its keys in time.
			doc.Teams[0].OfflineKeys, doc.Teams[0].OfflineLimit = declaration.OfflineServe, declaration.Duration(time.Minute)
			doc.Services = append(doc.Services, declaration.Service{Name: service})
			doc.Routes = append(doc.Routes, declaration.Route{Name: service, Kind: declaration.RouteService, Service: service, Path: prefix, Class: "order", Repeatable: true})
		},
	})
	d.Control(d.Platform.Address, http.MethodPut, "/control/endpoints/bulk-1", endpoint.Endpoint{
		ID: "bulk-1", Instance: "bulk-1-1", Address: bulk.Listener.Addr().String(), Domain: domain, Service: service,
		Kind: platformd.KindSteady, State: endpoint.StateLive,
	})
	chat := func(prompt string, tokens int) call {
		return call{
			method: http.MethodPost, path: "/v1/chat/completions", answerPart: "data: [DONE]",
			body: fmt.Sprintf(`{"model": %q, "stream": true, "max_tokens": %d, "messages": [{"role": "user", "content": %q}]}`, e2e.ModelRoute, tokens, prompt),
		}
	}
	target := &target{
		process: d.Hosts[0].Process, address: d.Hosts[0].CallerAddress, memoryMB: serveMemoryMB, openFiles: openFiles,
		headers: map[string]string{"Authorization": "Bearer " + d.Key}, idHeader: "Idempotency-Key",
		plain:  call{method: http.MethodGet, path: orderd.DefaultPrefix + "stock/nougat", answerPart: `"boxes"`},
		stream: chat("how long does nougat keep", 20),
		order:  call{method: http.MethodPost, path: orderd.DefaultPrefix + "shipments"},
		bulk:   call{method: http.MethodGet, path: prefix + "list"},
		flood:  chat(e2e.LongPrompt("tell a long story"), 300),
	}
	waitServed(t, target, call{method: http.MethodGet, path: prefix + "list"})
	return target
}

const (
	relayKey = "crowd-key"
	// announceInterval is how often runners announce themselves.
	announceInterval = 400 * time.Millisecond
)

// startRelay starts a host of the relay program, two engines and two plain runners.
func startRelay(t *testing.T, openFiles int) *target {
	t.Helper()
	store, cloud := platformtest.NewStore(t), platformtest.NewCloud(t)
	configureRelay(t, store)
	announceRunners(t, store)
	target := &target{
		address: freeAddress(t), memoryMB: relayMemoryMB, openFiles: openFiles, idHeader: "X-Clementineshed-Attempt-Id",
		headers: map[string]string{"Api-Key": relayKey, "X-Clementineshed-Deadline-Ms": "8000"},
		plain:   call{method: http.MethodGet, path: "/lookup/1", answerPart: "answer of desk"},
		order:   call{method: http.MethodPost, path: "/order/1"},
		bulk:    call{method: http.MethodGet, path: "/lookup/bulk"},
	}
	model := map[string]string{"X-Clementineshed-Model": "m", "X-Clementineshed-Token-Count": "900,20", "X-Clementineshed-Prompt-Prefix": "aa:400,bb:200"}
	target.stream = call{method: http.MethodPost, path: "/chat/1", headers: model, answerPart: "data: token 3\n\n"}
	target.flood = call{method: http.MethodPost, path: "/chat/flood", headers: model}

	ready, peers := freeAddress(t), freePort(t)
	text := fmt.Sprintf(`node=front-1
role=entry
zone=east
bindIp=127.0.0.1
listenAddrs.frontAddr=%s
listenAddrs.readyAddr=%s
internalPorts=%d,%d
limits.memoryMb=%d
limits.maxFds=%d
limits.linkMbps=1000.0
heartbeatMs=%d
contracts=base,split,leader
bounds.graceS=8
bounds.windowS=5
bounds.usageLateS=10
bounds.leaseMs=3000
bounds.requireFencing=true
bounds.retryBudgetRatio=0.2
bounds.retrySlack=50
bounds.budgetWindowS=10
platform.address=%s
platform.callBytes=2097152
cloud.address=%s
cloud.duties=usage_report
`, target.address, ready, peers, peers+1, relayMemoryMB, openFiles, announceInterval.Milliseconds(), store.Address(), cloud.Address())
	file := filepath.Join(t.TempDir(), "node.conf")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	target.process = e2e.StartLimitedProcess(t, "front-1", openFiles, "clementineshed-relay", "--settings", file)
	t.Cleanup(func() {
		target.process.Kill()
		if t.Failed() {
			output := target.process.Output()
			t.Logf("---- front-1\n%s", output[max(0, len(output)-6000):])
		}
	})
	e2e.Eventually(t, readyTimeout, "front-1 is ready", func() bool {
		resp, err := http.Get("http://" + ready + "/readyz")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return target
}

func configureRelay(t *testing.T, store *platformtest.Store) {
	route := func(name, kind, service string, attempts int) map[string]any {
		return map[string]any{"name": name, "host": "shop.example", "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": 8000, "targetLatencyMs": 2000,
			"gapAimMs": 1000, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "resumable": false}
	}
	store.PutJSON(t, platform.TopicConfiguration, platform.ConfigurationKey, map[string]any{
		"version": 1,
		"routes":  []any{route("chat", "stream", "llm", 1), route("order", "unsafe", "desk", 1), route("lookup", "safe", "desk", 2)},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{relayKey}}},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 1000, "engine": map[string]any{
				"slotCount": 512, "kvCapacityTokens": 2000000, "kvTokenBytes": 1000, "linkMbps": 100000.0, "handleTtlS": 5.0, "switchS": 0.2}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 1000},
		},
		"limits": map[string]any{"maxHeaderBytes": headerLimit, "maxBodyBytes": bodyLimit, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000},
	})
}

// announceRunners starts the endpoints of the relay program and announces them until
// the test ends.
func announceRunners(t *testing.T, store *platformtest.Store) {
	services := map[*platformtest.Runner]string{}
	for _, r := range []struct{ id, service, stage string }{
		{"llm-0", "llm", "prefill"}, {"llm-1", "llm", "decode"}, {"desk-0", "desk", ""}, {"desk-1", "desk", ""},
	} {
		runner := platformtest.NewRunner(t, r.id, r.stage)
		stage := r.stage
		runner.SetFault(func(w http.ResponseWriter, req *http.Request) bool { return answerLarge(stage, w, req) })
		services[runner] = r.service
	}
	announce := func() {
		for r, service := range services {
			store.PutJSON(t, platform.TopicEndpoints, r.ID, r.Announcement(service, "east", "ready"))
		}
	}
	announce()
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			select {
			case <-stop:
				return
			case <-time.After(announceInterval):
				announce()
			}
		}
	}()
	t.Cleanup(func() {
		close(stop)
		<-stopped
	})
}

// answerLarge answers a request for a large answer in a runner's place.
func answerLarge(stage string, w http.ResponseWriter, r *http.Request) bool {
	switch {
	case stage == "" && strings.HasSuffix(r.URL.Path, "/bulk"):
		w.Header().Set("X-Clementineshed-Server-Stamp", "stamp")
		writeBulk(w)
		return true
	case stage == "decode" && strings.HasSuffix(r.URL.Path, "/flood"):
		w.Header().Set("X-Clementineshed-Server-Stamp", "stamp")
		w.Header().Set("Content-Type", "text/event-stream")
		data := strings.Repeat("x", floodEventBytes)
		for i := range floodEvents {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, data); err != nil {
				break
			}
			w.(http.Flusher).Flush()
		}
		return true
	}
	return false
}

func freeAddress(t *testing.T) string {
	t.Helper()
	return fmt.Sprintf("127.0.0.1:%d", freePort(t))
}

func freePort(t *testing.T) int {
	t.Helper()
	port, err := freeport.Port()
	if err != nil {
		t.Fatal(err)
	}
	return port
}

// waitServed waits until the program serves c.
func waitServed(t *testing.T, target *target, c call) {
	t.Helper()
	e2e.Eventually(t, readyTimeout, c.path+" is served", func() bool {
		a := target.send(c)
		return a.err == nil && a.status == http.StatusOK
	})
}
