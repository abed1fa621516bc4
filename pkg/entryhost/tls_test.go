package entryhost

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// TestReplacedKeysReachNewConnections guards against a host that presents its
// old certificate to the platform until it restarts, even after it has expired.
func TestReplacedKeysReachNewConnections(t *testing.T) {
	dir := t.TempDir()
	clock := clockwork.NewFakeClockAt(time.Now())
	ca, err := tlsconfig.NewDevCA(clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	serverFiles, err := ca.WriteFiles(dir, "platform")
	if err != nil {
		t.Fatal(err)
	}
	clientFiles, err := ca.WriteFiles(dir, "host-1")
	if err != nil {
		t.Fatal(err)
	}
	server, err := tlsconfig.Open(tlsconfig.Options{Files: serverFiles, Clock: clock, Log: logging.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	link := settings.Link{Certificate: clientFiles.Cert, Key: clientFiles.Key, CA: clientFiles.CA}
	sources, err := openTLSSources(settings.TLS{Platform: link}, time.Second, clock, logging.Discard())
	if err != nil {
		t.Fatal(err)
	}
	defer sources.close()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 1)
	httpServer := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		seen <- ctx.TLSConnectionState().PeerCertificates[0].SerialNumber.String()
	}}
	go func() { _ = httpServer.Serve(tlsListener(l, server.Server())) }()
	defer func() { _ = httpServer.Shutdown() }()

	client := jsonhttp.New(l.Addr().String(), jsonhttp.Options{TLS: sources.platformTLS(), FreshConnections: true})
	ask := func() string {
		if err := client.Do(context.Background(), http.MethodGet, "/", nil, nil); err != nil {
			t.Fatal(err)
		}
		return <-seen
	}
	first := ask()
	if _, err := ca.WriteFiles(dir, "host-1"); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(5 * time.Second)
	for ask() == first {
		if time.Now().After(deadline) {
			t.Fatal("new connections still present the replaced certificate")
		}
		clock.Advance(time.Second)
		time.Sleep(10 * time.Millisecond)
	}
}
