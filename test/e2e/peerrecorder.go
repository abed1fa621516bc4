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

// peerRecorder records the messages between entry hosts. For each pair of hosts
// it terminates the QUIC connections, relays their streams with the certificates
// of both hosts and records every byte.
type peerRecorder struct {
	d        *Deployment
	recorded lockedBuffer

	mu        sync.Mutex
	listeners map[linkKey]*quic.Listener
	sources   []*tlsconfig.Source
}

// PeerMessages returns the plaintext that the entry hosts have sent to each
// other so far. It is empty without Options.RecordPeerMessages.
func (d *Deployment) PeerMessages() string { return d.recorder.recorded.String() }

// relayAddress returns the address of the relay through which host from reaches
// host to at target. It starts the relay at the first call.
func (r *peerRecorder) relayAddress(from, to, target string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := linkKey{from, target}
	if l, ok := r.listeners[key]; ok {
		return l.Addr().String()
	}
	own, other := r.openCertificate(from), r.openCertificate(to)
	config := &quic.Config{MaxIdleTimeout: 5 * time.Second, KeepAlivePeriod: time.Second}
	listener, err := quic.ListenAddr("127.0.0.1:0", other.Server(peer.Protocol), config)
	if err != nil {
		panic("peer recorder: " + err.Error())
	}
	r.listeners[key] = listener
	go func() {
		for {
			caller, err := listener.Accept(context.Background())
			if err != nil {
				return
			}
			callee, err := quic.DialAddr(caller.Context(), target, own.Client(to, peer.Protocol), config)
			if err != nil {
				_ = caller.CloseWithError(0, "dialing the peer failed")
				continue
			}
			go r.relay(caller, callee)
			go r.relay(callee, caller)
		}
	}()
	return listener.Addr().String()
}

func (r *peerRecorder) openCertificate(host string) *tlsconfig.Source {
	source, err := tlsconfig.Open(tlsconfig.Options{Files: r.d.tlsFiles[host], Clock: clockwork.NewRealClock(), Log: logging.Discard()})
	if err != nil {
		panic("peer recorder: " + err.Error())
	}
	r.sources = append(r.sources, source)
	return source
}

// relay forwards the streams that from opens until either connection ends.
func (r *peerRecorder) relay(from, to *quic.Conn) {
	go func() {
		for {
			in, err := from.AcceptUniStream(to.Context())
			if err != nil {
				return
			}
			if out, err := to.OpenUniStreamSync(from.Context()); err == nil {
				go r.copyStream(out, in)
			}
		}
	}()
	for {
		in, err := from.AcceptStream(to.Context())
		if err != nil {
			_ = to.CloseWithError(0, "the other connection ended")
			return
		}
		if out, err := to.OpenStreamSync(from.Context()); err == nil {
			go r.copyStream(out, in)
			go r.copyStream(in, out)
		}
	}
}

type sendStream interface {
	io.WriteCloser
	CancelWrite(quic.StreamErrorCode)
}

func (r *peerRecorder) copyStream(to sendStream, from io.Reader) {
	if _, err := io.Copy(to, io.TeeReader(from, &r.recorded)); err != nil {
		to.CancelWrite(0)
		return
	}
	_ = to.Close()
}

func (r *peerRecorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.listeners {
		_ = l.Close()
	}
	for _, source := range r.sources {
		source.Close()
	}
}
