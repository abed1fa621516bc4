package tlsconfig

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fixture struct {
	ca     *DevCA
	dir    string
	clock  *clockwork.FakeClock
	logged *memory.Handler
	source *Source
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{dir: t.TempDir(), clock: clockwork.NewFakeClockAt(time.Now()), logged: memory.New()}
	f.ca = newCA(t, f.clock.Now())
	files, err := f.ca.WriteFiles(f.dir, "a")
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Handler: f.logged, Level: log.DebugLevel}
	f.source, err = Open(Options{Files: files, Clock: f.clock, Log: logger})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.source.Close)
	return f
}

func newCA(t *testing.T, now time.Time) *DevCA {
	t.Helper()
	ca, err := NewDevCA(now)
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// handshake connects client to server and returns the errors of the server and
// of the client.
func handshake(t *testing.T, server, client *tls.Config) (error, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	result := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			result <- err
			return
		}
		defer conn.Close()
		result <- tls.Server(conn, server).HandshakeContext(context.Background())
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err == nil {
		defer conn.Close()
	}
	return <-result, err
}

// Guards against serving a peer without a valid certificate, and against
// refusing it without a log line.
func TestPeersWithoutValidCertificateAreRefusedAndLogged(t *testing.T) {
	f := newFixture(t)
	if serverErr, clientErr := handshake(t, f.source.Server(), f.source.Client("a")); serverErr != nil || clientErr != nil {
		t.Fatalf("valid peer refused: %v, %v", serverErr, clientErr)
	}
	noCert := f.source.Client("a")
	noCert.Certificates = nil
	foreignCA := f.source.Client("a")
	certPEM, keyPEM, err := newCA(t, f.clock.Now()).Issue("a")
	if err != nil {
		t.Fatal(err)
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		t.Fatal(err)
	}
	foreignCA.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &pair, nil }
	for name, client := range map[string]*tls.Config{"no certificate": noCert, "foreign CA": foreignCA} {
		before := len(f.logged.Entries)
		if serverErr, _ := handshake(t, f.source.Server(), client); serverErr == nil {
			t.Errorf("%s: server accepted the client", name)
		}
		if len(f.logged.Entries) != before+1 {
			t.Errorf("%s: %d log lines, want 1", name, len(f.logged.Entries)-before)
		}
	}
	if _, clientErr := handshake(t, f.source.Server(), f.source.Client("b")); clientErr == nil {
		t.Error("client accepted a server with another name")
	}
	f.clock.Advance(DevValidity + time.Hour)
	if serverErr, _ := handshake(t, f.source.Server(), f.source.Client("a")); serverErr == nil {
		t.Error("handshake with expired certificates succeeded")
	}
}

// Guards against new keys that need a restart, and against refusing all
// connections while only one file of a pair has been replaced.
func TestKeysAreReloaded(t *testing.T) {
	f := newFixture(t)
	server := f.source.Server()
	oldClient := f.source.Client("a")
	newerCA := newCA(t, f.clock.Now())
	certPEM, keyPEM, err := newerCA.Issue("a")
	if err != nil {
		t.Fatal(err)
	}
	write := func(name string, data []byte) {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(f.source.opts.Files.Cert, certPEM)
	f.source.reload()
	f.source.reload()
	if serverErr, clientErr := handshake(t, server, oldClient); serverErr != nil || clientErr != nil {
		t.Fatalf("previous keys not in use while only the certificate was replaced: %v, %v", serverErr, clientErr)
	}
	if n := len(f.logged.Entries); n != 1 || !strings.Contains(f.logged.Entries[0].Message, "not reloaded") {
		t.Fatalf("%d log lines, want one failure", n)
	}
	write(f.source.opts.Files.Key, keyPEM)
	write(f.source.opts.Files.CA, newerCA.CertPEM())
	waitForReload(t, f)
	if serverErr, clientErr := handshake(t, server, f.source.Client("a")); serverErr != nil || clientErr != nil {
		t.Fatalf("new keys not in use: %v, %v", serverErr, clientErr)
	}
	if serverErr, clientErr := handshake(t, server, oldClient); serverErr == nil && clientErr == nil {
		t.Fatal("keys of the replaced CA still accepted")
	}
}

func waitForReload(t *testing.T, f *fixture) {
	t.Helper()
	before := f.source.current().digest
	f.clock.Advance(DefaultPollInterval)
	for range 1000 {
		if f.source.current().digest != before {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the poll did not load the changed files")
}
