package orderd

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

func startServer(t *testing.T) *Server {
	t.Helper()
	s := New(Options{DownFor: 30 * time.Millisecond})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// postShipment posts a shipment and returns the status, or 0 without an answer.
func postShipment(s *Server, key string) int {
	client := &fasthttp.Client{RetryIfErr: jsonhttp.NeverRetry, MaxIdemponentCallAttempts: 1}
	defer client.CloseIdleConnections()
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod("POST")
	req.SetRequestURI("http://" + s.Address() + "/order-desk/shipments")
	req.Header.Set(HeaderIdempotencyKey, key)
	req.SetBodyString("twelve boxes")
	if client.DoTimeout(req, resp, time.Second) != nil {
		return 0
	}
	return resp.StatusCode()
}

// Guards against a journal that misses an execution, which would hide a duplicate
// order.
func TestExecutionsAreCounted(t *testing.T) {
	s := startServer(t)
	first, second := postShipment(s, "k"), postShipment(s, "k")
	if first != 200 || second != 200 || s.ExecutionCount("k") != 2 {
		t.Fatalf("two shipments with one key, executions: %+v", s.Executions())
	}
	if got := s.Executions()[0]; got.BodySHA256 != BodyDigest([]byte("twelve boxes")) {
		t.Fatalf("wrong body digest in %+v", got)
	}
}

// Guards against a crash or a lost answer on the wrong side of the execution.
func TestFaultsAroundTheEffect(t *testing.T) {
	s := startServer(t)
	for _, c := range []struct {
		faults Faults
		effect int
	}{
		{Faults{CrashBefore: 1}, 0},
		{Faults{CrashAfter: 1}, 1},
		{Faults{Faults: httpd.Faults{LoseAnswers: 1}}, 1},
		{Faults{Faults: httpd.Faults{Outage: httpd.OutageReset}}, 0},
	} {
		s.SetFaults(c.faults)
		before := s.ExecutionCount("k")
		if status := postShipment(s, "k"); status != 0 {
			t.Errorf("%+v: status %d", c.faults, status)
		}
		if effect := s.ExecutionCount("k") - before; effect != c.effect {
			t.Errorf("%+v: %d executions, want %d", c.faults, effect, c.effect)
		}
		time.Sleep(s.opts.DownFor)
	}
	s.SetFaults(Faults{})
	if status := postShipment(s, "k"); status != 200 {
		t.Errorf("after the faults: status %d", status)
	}
}
