package gate

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// largeBody is more than the budget admits as a small body.
const largeBody = 1 << 20

// newMemoryGate returns a gate with a budget whose service counts its requests.
func newMemoryGate(t *testing.T) (*testGate, *atomic.Int64) {
	var bodies atomic.Int64
	limits := DefaultLimits
	limits.MemoryBytes = 128 << 20
	return newTestGate(t, limits, serveHTTP(t, func(ctx *fasthttp.RequestCtx) {
		bodies.Add(int64(len(ctx.PostBody())))
		ctx.SetBody(ctx.PostBody())
	})), &bodies
}

// TestRequestsOverTheBudgetAreRefused guards against a host that is killed because of the
// sum of the bodies that it holds, and against a refusal that does not say that the
// request has not run.
func TestRequestsOverTheBudgetAreRefused(t *testing.T) {
	tg, bodies := newMemoryGate(t)
	limit := tg.memory.Stats().Limit
	tg.memory.Force(limit, time.Now())
	for _, path := range []string{"/orders/shipments", "/v1/chat/completions"} {
		conn, err := net.Dial("tcp", tg.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nIdempotency-Key: k\r\nContent-Length: %d\r\n\r\n", path, testKey, largeBody)
		if _, err := io.WriteString(conn, head+strings.Repeat("x", largeBody)); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(resp.Body)
		if resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !strings.Contains(string(body), `"ran":"no"`) {
			t.Errorf("%s: got %d %v %s", path, resp.StatusCode, resp.Header, body)
		}
		_ = conn.Close()
	}
	if status, body := tg.post(t, "/orders/shipments", testKey, "{}"); status != 200 || bodies.Load() != 2 {
		t.Errorf("a small request beside it: got %d %s; the service has read %d bytes", status, body, bodies.Load())
	}
	tg.memory.Release(limit, time.Now())
	if status, _ := tg.post(t, "/orders/shipments", testKey, strings.Repeat("x", largeBody)); status != 200 {
		t.Errorf("got %d once there is room", status)
	}
}

// TestBodiesArriveWhole guards against a body that changes or is lost because the gate
// sends it from the server's buffer, and against charges that outlive their requests.
func TestBodiesArriveWhole(t *testing.T) {
	tg, _ := newMemoryGate(t)
	// The recorder of the test takes 16 requests.
	for i := range 4 {
		t.Run("caller", func(t *testing.T) {
			t.Parallel()
			for n := range 4 {
				body := strings.Repeat(fmt.Sprintf("%d-%d ", i, n), 100_000)
				if status, got := tg.post(t, "/orders/shipments", testKey, body); status != 200 || got != body {
					t.Errorf("got %d with %d bytes, want %d", status, len(got), len(body))
				}
			}
		})
	}
	t.Cleanup(func() {
		for until := time.Now().Add(5 * time.Second); tg.memory.Stats().Held > 0; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				t.Fatalf("%d bytes are charged after all requests have ended", tg.memory.Stats().Held)
			}
		}
	})
}
