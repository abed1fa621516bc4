package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// openConfig has a route to the service desk and one to the model m.
type openConfig struct{}

func (openConfig) Key(gate.KeyHash) (string, gate.KeyStatus) { return "a", gate.KeyUsable }

func (openConfig) ModelRoute(name string) (declaration.Route, bool) {
	return declaration.Route{Name: name, Kind: declaration.RouteModel, Model: "m", Class: "chat", Repeatable: true}, true
}

func (openConfig) ServiceRoute(string) (declaration.Route, bool) {
	return declaration.Route{Name: "stock", Kind: declaration.RouteService, Service: "desk", Class: "order", Repeatable: true, Open: true}, true
}

func (openConfig) Class(name string) (declaration.Class, bool) {
	if name == chat.Name {
		return chat, true
	}
	return declaration.Class{Name: name, Completion: declaration.Duration(time.Second)}, true
}

func (openConfig) Team(name string) (declaration.Team, bool) {
	return declaration.Team{Name: name}, true
}

func (openConfig) Ready() bool { return true }

// noRecords ignores crashes and ended requests.
type noRecords struct{}

func (noRecords) Begin(quarantine.Request) (gate.CrashAttempt, error)            { return noRecords{}, nil }
func (noRecords) Exclusive() bool                                                { return false }
func (noRecords) Done()                                                          {}
func (noRecords) Completed()                                                     {}
func (noRecords) ConnectionBroken(context.Context, endpoint.Endpoint, time.Time) {}
func (noRecords) RequestEnded(gate.RequestRecord)                                {}
func (noRecords) Execute(ctx context.Context, _ *gate.ServiceRequest, send func(context.Context) (gate.ServiceAnswer, error)) (gate.ServiceAnswer, error) {
	return send(ctx)
}

// pausingEndpoint refuses all requests with 503 and a Retry-After, in seconds.
func pausingEndpoint(t *testing.T, retryAfter string) (address string, arrivals *atomic.Int64) {
	t.Helper()
	arrivals = new(atomic.Int64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = fmt.Fprint(w, `{"code":"overloaded"}`)
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), arrivals
}

// startGate serves callers with the dispatcher and returns the gate's address.
func startGate(t *testing.T, d *Dispatcher) string {
	t.Helper()
	engines := engineclient.New(engineclient.Options{})
	limits := gate.DefaultLimits
	g := gate.New(gate.Options{
		Config: openConfig{}, Dispatcher: d, CrashGuard: noRecords{}, OnceExecutor: noRecords{}, Recorder: noRecords{},
		Engines: engines, Services: gate.NewServiceClient(nil), Log: logging.Discard(), Clock: clockwork.NewRealClock(), Limits: limits,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := g.Server()
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(g.Listener(l, nil)) })
	wg.Go(func() { d.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		g.CancelAll()
		_ = server.Shutdown()
		engines.Close()
		wg.Wait()
	})
	return l.Addr().String()
}

// TestPausedEndpointGetsNoRequests guards against requests of callers that reach an
// engine or a service before the Retry-After of its 503 has ended, and against callers
// that wait for it although they will be refused.
func TestPausedEndpointGetsNoRequests(t *testing.T) {
	service := func(address string) endpoint.Status {
		return endpoint.Status{Endpoint: endpoint.Endpoint{ID: "e1", Instance: "e1-1", Address: address, Domain: "nashua", Service: "desk", State: endpoint.StateLive}}
	}
	model := func(address string) endpoint.Status {
		s := engineStatus("e1")
		s.Address = address
		return s
	}
	tests := map[string]struct {
		status     func(address string) endpoint.Status
		path, body string
	}{
		"service": {service, "/stock/1", ""},
		"engine":  {model, "/v1/chat/completions", `{"model":"notes","messages":[{"role":"user","content":"hi"}],"max_tokens":4}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, arrivals := pausingEndpoint(t, "3")
			d := New(Options{Domain: "nashua", Clock: clockwork.NewRealClock(), Seed: 1, Delays: routing.UniformDelay(time.Millisecond)})
			statuses := []endpoint.Status{tt.status(address)}
			d.Update(statuses, 1)
			url := "http://" + startGate(t, d) + tt.path
			post := func(client *http.Client) (int, http.Header) {
				req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(tt.body))
				if err != nil {
					t.Error(err)
					return 0, nil
				}
				req.Header.Set("Authorization", "Bearer key")
				resp, err := client.Do(req)
				if err != nil {
					t.Error(err)
					return 0, nil
				}
				_ = resp.Body.Close()
				return resp.StatusCode, resp.Header
			}
			post(http.DefaultClient)
			first := arrivals.Load()
			if first == 0 {
				t.Fatal("no request reached the endpoint")
			}
			var wg sync.WaitGroup
			for range 8 {
				wg.Go(func() {
					client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
					defer client.CloseIdleConnections()
					for range 10 {
						sentAt := time.Now()
						status, header := post(client)
						if wait := time.Since(sentAt); status != 429 || header.Get("Retry-After") != "3" || wait > 500*time.Millisecond {
							t.Errorf("status %d with Retry-After %q after %v", status, header.Get("Retry-After"), wait)
							return
						}
						d.Update(statuses, 1)
					}
				})
			}
			wg.Wait()
			if n := arrivals.Load() - first; n > 0 {
				t.Errorf("%d requests reached the endpoint in its pause", n)
			}
			// A restart ends the pause.
			statuses[0].Instance = "e1-2"
			d.Update(statuses, 1)
			post(http.DefaultClient)
			if arrivals.Load() == first {
				t.Error("no request reached the endpoint after its restart")
			}
		})
	}
}
