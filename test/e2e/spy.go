package e2e

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/quic-go/quic-go"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/peer"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// spies read the messages between entry hosts: each relays the connections from
// one host to another with the certificates of both, and records every byte.
type spies struct {
	d     *Deployment
	bytes lockedBuffer

	mu        sync.Mutex
	listeners map[linkKey]*quic.Listener
	sources   []*tlsconfig.Source
}

// PeerMessages returns what the entry hosts have sent to each other, decrypted.
// It needs Options.SpyPeers.
func (d *Deployment) PeerMessages() string { return d.spies.bytes.String() }

// between returns the address at which from reaches host to, at target.
func (s *spies) between(from, to, target string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := linkKey{from, target}
	if l, ok := s.listeners[key]; ok {
		return l.Addr().String()
	}
	own, other := s.source(from), s.source(to)
	config := &quic.Config{MaxIdleTimeout: 5 * time.Second, KeepAlivePeriod: time.Second}
	listener, err := quic.ListenAddr("127.0.0.1:0", other.Server(peer.Protocol), config)
	if err != nil {
		panic("spy: " + err.Error())
	}
	s.listeners[key] = listener
	go func() {
		for {
			caller, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			callee, err := quic.DialAddr(caller.Context(), target, own.Client(to, peer.Protocol), config)
			if err != nil {
				_ = caller.CloseWithError(0, "no contact")
				continue
			}
			go s.relay(caller, callee)
			go s.relay(callee, caller)
		}
	}()
	return listener.Addr().String()
}

// source opens the certificate that a host uses.
func (s *spies) source(host string) *tlsconfig.Source {
	source, err := tlsconfig.Open(tlsconfig.Options{Files: s.d.files[host], Clock: clockwork.NewRealClock(), Log: logging.Discard()})
	if err != nil {
		panic("spy: " + err.Error())
	}
	s.sources = append(s.sources, source)
	return source
}

// relay forwards the streams that from opens, until either connection ends.
func (s *spies) relay(from, to *quic.Conn) {
	go func() {
		for {
			in, err := from.AcceptUniStream(to.Context())
			if err != nil {
				return
			}
			if out, err := to.OpenUniStreamSync(from.Context()); err == nil {
				go s.copy(out, in)
			}
		}
	}()
	for {
		in, err := from.AcceptStream(to.Context())
		if err != nil {
			_ = to.CloseWithError(0, "the other side ended")
			return
		}
		if out, err := to.OpenStreamSync(from.Context()); err == nil {
			go s.copy(out, in)
			go s.copy(in, out)
		}
	}
}

// sendStream is the sending side of a stream.
type sendStream interface {
	io.WriteCloser
	CancelWrite(quic.StreamErrorCode)
}

func (s *spies) copy(to sendStream, from io.Reader) {
	if _, err := io.Copy(to, io.TeeReader(from, &s.bytes)); err != nil {
		to.CancelWrite(0)
		return
	}
	_ = to.Close()
}

func (s *spies) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		_ = l.Close()
	}
	for _, source := range s.sources {
		source.Close()
	}
}
