package jsonhttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a process that waits for its long polls when it stops, and
// against opening a connection for each poll.
func TestPollEndsWithItsContext(t *testing.T) {
	var connections atomic.Int32
	requestHeld := make(chan struct{})
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(requestHeld)
			<-r.Context().Done()
		}
		_, _ = w.Write([]byte("{}"))
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := New(server.Listener.Addr().String(), Options{})
	for range 3 {
		if err := client.DoWait(t.Context(), http.MethodGet, "/", nil, nil, time.Minute); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("%d connections for consecutive polls, want 1", n)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- client.DoWait(ctx, http.MethodGet, "/held", nil, nil, time.Minute) }()
	<-requestHeld
	cancel()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("an interrupted poll succeeded")
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the poll did not return after its context ended")
	}
	if err := client.DoWait(t.Context(), http.MethodGet, "/", nil, nil, time.Minute); err != nil {
		t.Errorf("poll after an interrupted one: %v", err)
	}
}
