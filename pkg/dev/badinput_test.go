package dev

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

const (
	testReadProgress  = 300 * time.Millisecond
	testWriteProgress = 500 * time.Millisecond
)

// startWithTightLimits runs a deployment with limits low enough for a test.
func startWithTightLimits(t *testing.T, change func(*settings.Settings)) *Cluster {
	t.Helper()
	cluster, err := Start(t.Context(), Options{
		Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1,
		Settings: func(s *settings.Settings) {
			s.Limits.HeaderBytes, s.Limits.BodyBytes = 4<<10, 16<<10
			s.Limits.ReadProgress = declaration.Duration(testReadProgress)
			s.Limits.WriteProgress = declaration.Duration(testWriteProgress)
			if change != nil {
				change(s)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// exchangeRaw writes text to a new connection and returns the answer up to its
// end. closeWrite closes the sending side after the text.
func exchangeRaw(t *testing.T, address, text string, closeWrite bool) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, text)
	if closeWrite {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// rawChatRequest returns the text of a chat request with Connection: close.
func rawChatRequest(key, body string) string {
	if key != "" {
		key = "Authorization: Bearer " + key + "\r\n"
	}
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nConnection: close\r\n%sContent-Length: %d\r\n\r\n%s", key, len(body), body)
}

// TestBadInput guards against bad input that reaches an engine, keeps its
// connection open or gets an answer that does not name the fault.
func TestBadInput(t *testing.T) {
	cluster := startWithTightLimits(t, nil)
	key, address := cluster.Key, cluster.CallersAddresses()[0]
	good := `{"model":"tasting-notes","messages":[{"role":"user","content":"a"}],"max_tokens":4}`
	if answer := exchangeRaw(t, address, rawChatRequest(key, good), false); !strings.HasPrefix(answer, "HTTP/1.1 200") {
		t.Fatalf("good request: %s", answer)
	}
	ran := engineRequests(cluster)
	for _, c := range []struct {
		name, text string
		closeWrite bool
		status     int
		code       string
	}{
		{"oversized headers", "GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", false, 431, refusal.CodeHeadersTooLarge},
		{"oversized body", rawChatRequest(key, strings.Repeat(" ", 32<<10)), false, 413, refusal.CodeBodyTooLarge},
		{"truncated body", strings.TrimSuffix(rawChatRequest(key, good), `"max_tokens":4}`), true, 400, refusal.CodeInvalidRequest},
		{"broken JSON", rawChatRequest(key, good[:40]), false, 400, refusal.CodeInvalidRequest},
		{"no messages", rawChatRequest(key, `{"model":"tasting-notes"}`), false, 400, refusal.CodeInvalidRequest},
		{"unknown model", rawChatRequest(key, strings.Replace(good, "notes", "motes", 1)), false, 404, refusal.CodeUnknownModel},
		{"missing key", rawChatRequest("", good), false, 401, refusal.CodeMissingKey},
		{"unknown key", rawChatRequest("cs-other", good), false, 401, refusal.CodeUnknownKey},
		{"slow sender", strings.TrimSuffix(rawChatRequest(key, good), good[20:]), false, 408, refusal.CodeRequestTimeout},
		{"slow headers", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n", false, 408, refusal.CodeRequestTimeout},
		{"not HTTP", "hello\r\n\r\n", false, 400, refusal.CodeInvalidRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			answer := exchangeRaw(t, address, c.text, c.closeWrite)
			head, body, _ := strings.Cut(answer, "\r\n\r\n")
			var refused refusal.Body
			err := json.Unmarshal([]byte(body), &refused)
			if err != nil || !strings.HasPrefix(head, fmt.Sprintf("HTTP/1.1 %d ", c.status)) ||
				refused.Error.Code != c.code || refused.Error.Ran != refusal.RanNo || refused.Error.Message == "" {
				t.Errorf("want status %d, code %s; got %.500s", c.status, c.code, answer)
			}
		})
	}
	if after := engineRequests(cluster); after != ran {
		t.Errorf("engines received %d requests from bad input", after-ran)
	}
}

// engineRequests counts the journal entries of all engines.
func engineRequests(c *Cluster) int {
	n := 0
	for _, e := range c.engines {
		n += len(e.Journal())
	}
	return n
}

// endlessEngine streams large tokens until its connection closes, and then
// closes ended.
func endlessEngine(ended chan<- struct{}) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+enginewire.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(endpoint.Load{
			Instance: "endless-1", Role: endpoint.RoleMixed, Model: model, Version: modelVersion, KVTokensTotal: 400_000,
			PrefillRate: 1e6, DecodeRate: 1e6, ReportedAtMillis: time.Now().UnixMilli(),
		})
	})
	mux.HandleFunc("POST "+enginewire.PathGenerate, func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		var request enginewire.GenerateRequest
		if json.NewDecoder(r.Body).Decode(&request) != nil {
			return
		}
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 0; r.Context().Err() == nil; i++ {
			data, _ := json.Marshal(enginewire.Event{RequestID: request.RequestID, Index: i, Token: strings.Repeat("x", 16<<10)})
			if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
		}
	})
	return mux
}

// TestCallerThatReadsNothing guards against a caller that occupies an engine
// forever by not reading its answer.
func TestCallerThatReadsNothing(t *testing.T) {
	cluster := startWithTightLimits(t, nil)
	ended := make(chan struct{})
	engine := httptest.NewServer(endlessEngine(ended))
	defer engine.Close()
	for _, e := range cluster.engines {
		e.Drain()
	}
	cluster.plat.AddEndpoint(endpoint.Endpoint{
		ID: "endless", Instance: "endless-1", Address: engine.Listener.Addr().String(), Domain: domains[0],
		Kind: platformd.KindSteady, State: endpoint.StateLive,
	}, nil)
	deadline := time.Now().Add(8 * time.Second)
	conn := openUnreadStream(t, cluster, deadline)
	defer func() { _ = conn.Close() }()
	select {
	case <-ended:
	case <-time.After(time.Until(deadline)):
		t.Fatal("the engine still generates for a caller that reads nothing")
	}
	waitFor(t, deadline, func() bool { return cluster.hosts[0].Status().InFlight == 0 })
}

// openUnreadStream repeats a chat request until the endless engine accepts it,
// and reads only the start of the status line. A small receive buffer makes the
// sender block soon.
func openUnreadStream(t *testing.T, cluster *Cluster, deadline time.Time) net.Conn {
	t.Helper()
	dialer := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	}}
	body := `{"model":"tasting-notes","stream":true,"messages":[{"role":"user","content":"a"}]}`
	for time.Now().Before(deadline) {
		conn, err := dialer.DialContext(t.Context(), "tcp", cluster.CallersAddresses()[0])
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, rawChatRequest(cluster.Key, body))
		_ = conn.SetReadDeadline(deadline)
		status := make([]byte, len("HTTP/1.1 200"))
		if _, err := io.ReadFull(conn, status); err == nil && string(status) == "HTTP/1.1 200" {
			return conn
		}
		_ = conn.Close()
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatal("no stream was opened")
	return nil
}

func waitFor(t *testing.T, deadline time.Time, done func() bool) {
	t.Helper()
	for !done() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met before the deadline")
		}
		time.Sleep(10 * time.Millisecond)
	}
}
